import {
  createAccountFunctions,
  createAccountsPlugin,
} from '@samphireramp/accounts';
import {
  clientAccountsOf,
  createConfigurationPlugin,
} from '@samphireramp/configuration';
import {
  type DispatchOptions,
  createDispatchPlugin,
} from '@samphireramp/dispatch';
import {createFleetPlugin} from '@samphireramp/fleet';
import type {Plugin} from '@samphireramp/kernel';
import {
  createRunTimeFunctions,
  createRunTimesPlugin,
} from '@samphireramp/run-times';

/** Options of the plug-ins that place tasks. */
export interface PlacementPluginOptions extends Omit<
  DispatchOptions,
  'functions'
> {
  /** Whether run times are learned; otherwise the estimates of callers count. */
  readonly learnRunTimes: boolean;
}

/**
 * Creates the plug-ins of the configuration, accounts, workers, run times and dispatch,
 * which asks the others.
 */
export function createPlacementPlugins({
  learnRunTimes,
  ...options
}: PlacementPluginOptions): Plugin[] {
  const runTimes = createRunTimeFunctions(learnRunTimes);
  return [
    createConfigurationPlugin(),
    createAccountsPlugin(),
    createFleetPlugin(runTimes),
    createRunTimesPlugin(),
    createDispatchPlugin({
      ...options,
      functions: {
        ...createAccountFunctions(clientAccountsOf),
        ...runTimes,
      },
    }),
  ];
}
