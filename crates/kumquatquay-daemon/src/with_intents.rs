//! A node with intents, from flags and environment variables.

use std::process::ExitCode;

use clap::ArgMatches;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{EXIT_FAILED, EXIT_WRONG_SETTINGS, fail};

/// Two threads: a node shares its host with a backend server, and at the size to
/// build for it sees some 190 calls a second. A thread for each core cost no less
/// processor time and more memory.
#[tokio::main(worker_threads = 2)]
pub(crate) async fn serve(matches: &ArgMatches) -> ExitCode {
    kumquatquayd::init_json_log();
    let settings = match kumquatquayd::from_matches(matches) {
        Ok(settings) => settings,
        Err(findings) => return fail(EXIT_WRONG_SETTINGS, findings),
    };
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILED, format!("{error:#}")),
    }
}

async fn run(settings: kumquatquayd::DaemonSettings) -> eyre::Result<()> {
    let grace = settings.get_grace();
    let mut signals = Signals::new()?;
    let node = kumquatquayd::start(settings).await?;
    while let Request::Dump = signals.next().await {
        dump(&node);
    }
    node.stop(grace).await;
    Ok(())
}

/// Writes the node's state to the log.
fn dump(node: &kumquatquayd::RunningNode) {
    match serde_json::to_string(&node.state_dump()) {
        Ok(state) => log::info!(event = "state", state = state.as_str(); "state on request"),
        Err(error) => log::warn!(event = "state"; "the state can't be written: {error}"),
    }
}

/// What a signal asks for.
enum Request {
    /// SIGUSR1: log the state.
    Dump,
    /// SIGTERM or SIGINT: leave.
    Stop,
}

struct Signals {
    dump: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> eyre::Result<Self> {
        Ok(Self {
            dump: signal(SignalKind::user_defined1())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) -> Request {
        tokio::select! {
            _ = self.dump.recv() => Request::Dump,
            _ = self.terminate.recv() => Request::Stop,
            _ = self.interrupt.recv() => Request::Stop,
        }
    }
}
