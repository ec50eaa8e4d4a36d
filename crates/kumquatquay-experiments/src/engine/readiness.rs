//! Waiting until requests pass.

use std::{sync::Arc, time::Duration};

use eyre::bail;
use kumquatquay_standins::EffectLedger;

use super::Deployment;
use crate::{
    load::{Caller, Ending, LoadClass},
    scenario::Scenario,
};

/// Tries at each entry before the deployment counts as broken.
const TRIES_COUNT: u32 = 100;

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(100);

/// Successes in a row, at each entry, that count as ready.
const SUCCESSES_COUNT: u32 = 3;

/// Waits until each class passes from each entry.
///
/// # Errors
///
/// If requests don't pass within about ten seconds.
pub(crate) async fn wait_until_ready(
    deployment: &Deployment,
    scenario: &Scenario,
) -> eyre::Result<()> {
    let mut services: Vec<&String> = Vec::new();
    for class in &scenario.classes {
        if !services.contains(&&class.service) {
            services.push(&class.service);
        }
    }
    for (number, entry) in deployment.entries().into_iter().enumerate() {
        let caller = Caller::new(vec![entry], Arc::new(EffectLedger::default()));
        for service in &services {
            wait_for_service(&caller, number, service).await?;
        }
    }
    Ok(())
}

async fn wait_for_service(caller: &Caller, entry: usize, service: &str) -> eyre::Result<()> {
    let class = LoadClass::new("readiness", service).timeout(Duration::from_secs(5));
    let mut in_a_row = 0;
    let mut last = String::new();
    for number in 0..TRIES_COUNT {
        // A marker that is used twice would look like a call that ran after
        // its caller was told that it did not.
        let name = format!("readiness-{entry}-{service}-{number}");
        let ending = caller.request(&class, name, 0).await.last;
        if ending.ending == Ending::Good {
            in_a_row += 1;
        } else {
            in_a_row = 0;
            last = format!("{ending:?}");
            tokio::time::sleep(PAUSE).await;
        }
        if in_a_row == SUCCESSES_COUNT {
            return Ok(());
        }
    }
    bail!("requests to {service} don't pass: {last}")
}
