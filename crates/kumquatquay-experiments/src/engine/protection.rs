//! Bringing the intents of a scenario in force, as an operator does.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::{bail, eyre};
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use kumquatquay_wire::{
    ConfigurationVersion, Intent, IntentEdit, OperatorCommand, OperatorReply, Priority,
};
use tokio::time::Instant;

use crate::load::LoadClass;

/// Longest reply that is read.
const REPLY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Tries until an intent is in force everywhere.
const TRIES_COUNT: u32 = 600;

/// Pause between them.
const PAUSE: Duration = Duration::from_millis(50);

/// A change that was accepted.
pub(crate) struct Confirmed {
    /// Its version.
    pub(crate) version: ConfigurationVersion,
    /// When the confirmation that was accepted began.
    pub(crate) start: Instant,
    /// When it was accepted.
    pub(crate) accepted: Instant,
}

/// Protects the classes that are to be protected, at all nodes.
///
/// # Errors
///
/// If an operator's command is refused, or the change doesn't spread in time.
pub(crate) async fn protect(operator: SocketAddr, classes: &[LoadClass]) -> eyre::Result<()> {
    let edits = edits(classes);
    if edits.is_empty() {
        return Ok(());
    }
    let confirmed = confirm(operator, edits).await?;
    wait_until_everywhere(operator, confirmed.version).await
}

/// Plans and confirms a change.
///
/// # Errors
///
/// If an operator's command is refused.
pub(crate) async fn confirm(
    operator: SocketAddr,
    edits: Vec<IntentEdit>,
) -> eyre::Result<Confirmed> {
    let plan = OperatorCommand::Plan {
        edits,
        allows_unknown: true,
    };
    let plan = match ask_until_ready(operator, &plan).await? {
        OperatorReply::Plan(plan) => plan,
        reply => bail!("no plan was made: {reply:?}"),
    };
    confirm_until_accepted(operator, plan.id).await
}

async fn wait_until_everywhere(
    operator: SocketAddr,
    version: ConfigurationVersion,
) -> eyre::Result<()> {
    let command = OperatorCommand::Status {
        version: Some(version),
    };
    for _ in 0..TRIES_COUNT {
        if let OperatorReply::Status(status) = ask(operator, &command).await?
            && status.is_everywhere()
        {
            return Ok(());
        }
        tokio::time::sleep(PAUSE).await;
    }
    bail!("the change is not in force everywhere")
}

/// Confirms a plan; repeating it is harmless.
async fn confirm_until_accepted(operator: SocketAddr, plan: String) -> eyre::Result<Confirmed> {
    let confirm = OperatorCommand::Confirm { plan };
    let mut last = None;
    for _ in 0..TRIES_COUNT {
        let start = Instant::now();
        match ask(operator, &confirm).await? {
            OperatorReply::Accepted { version, .. } => {
                return Ok(Confirmed {
                    version,
                    start,
                    accepted: Instant::now(),
                });
            }
            // Refused while the node is still reading the log.
            reply @ (OperatorReply::Refused { .. } | OperatorReply::Undecided { .. }) => {
                last = Some(reply);
                tokio::time::sleep(PAUSE).await;
            }
            reply => bail!("the plan was not accepted: {reply:?}"),
        }
    }
    bail!("the plan was not accepted: {last:?}")
}

/// An intent for each service that protected classes call, in their order.
fn edits(classes: &[LoadClass]) -> Vec<IntentEdit> {
    let mut intents: BTreeMap<&str, Intent> = BTreeMap::new();
    for class in classes.iter().filter(|class| class.is_protected) {
        let intent = intents
            .remove(class.service.as_str())
            .unwrap_or_else(|| Intent::new(&class.service));
        intents.insert(
            &class.service,
            intent.priority(Priority::caller(&class.caller)),
        );
    }
    let edits = intents.into_iter().map(|(service, intent)| IntentEdit {
        service: service.to_owned(),
        intent: Some(intent),
    });
    edits.collect()
}

/// Right after a start a node may still be reading the log.
async fn ask_until_ready(
    operator: SocketAddr,
    command: &OperatorCommand,
) -> eyre::Result<OperatorReply> {
    for _ in 0..TRIES_COUNT {
        let reply = ask(operator, command).await?;
        if !matches!(reply, OperatorReply::Refused { .. }) {
            return Ok(reply);
        }
        tokio::time::sleep(PAUSE).await;
    }
    ask(operator, command).await
}

/// Sends one command.
pub(crate) async fn ask(
    operator: SocketAddr,
    command: &OperatorCommand,
) -> eyre::Result<OperatorReply> {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let body = Full::new(Bytes::from(serde_json::to_vec(command)?));
    let request = Request::post(format!("http://{operator}/operator")).body(body)?;
    let body = Limited::new(
        client.request(request).await?.into_body(),
        REPLY_LIMIT_BYTES,
    );
    let body = body
        .collect()
        .await
        .map_err(|error| eyre!("the reply broke off: {error}"))?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}
