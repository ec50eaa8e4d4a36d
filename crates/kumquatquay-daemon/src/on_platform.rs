//! A node on the users' platform, from its settings file.

use std::{fs, process::ExitCode, time::Duration};

use eyre::WrapErr;
use kumquatquay_core::routed::Mechanisms;
use kumquatquay_platform::{PlatformSettings, dialect, platform_store, read_settings};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    task::LocalSet,
};

use crate::{EXIT_FAILED, EXIT_WRONG_SETTINGS, fail};

/// How long a node that ends waits for its last log lines to be written; what is
/// left of the grace then is twice as long.
const LAST_LINES: Duration = Duration::from_millis(250);

/// Runs the node until it is asked to stop.
pub(crate) fn serve(path: &str, mechanisms: Mechanisms) -> ExitCode {
    let lines = kumquatquayd::init_json_log_to_stdout();
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return fail(EXIT_WRONG_SETTINGS, format!("{path}: {error}")),
    };
    let mut settings = match read_settings(&text) {
        Ok(settings) => settings,
        Err(findings) => return fail(EXIT_WRONG_SETTINGS, format!("{path}:\n{findings}")),
    };
    settings.node.mechanisms = mechanisms;
    let ran = run(settings);
    lines.flush_within(LAST_LINES);
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILED, format!("{error:#}")),
    }
}

/// One thread: a node has a part of one core, and tasks that never move need no
/// locks.
fn run(settings: PlatformSettings) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
        let mut reload = signal(SignalKind::hangup()).wrap_err("SIGHUP")?;
        let reloads = tokio::task::spawn_local(async move {
            while reload.recv().await.is_some() {
                log::info!(event = "reload"; "the settings of a node last for its whole life");
            }
        });
        let stop = async move {
            terminate.recv().await;
        };
        let store = platform_store(settings.store);
        kumquatquayd::routed::run(settings.node, dialect(), store, stop).await?;
        reloads.abort();
        Ok(())
    })
}
