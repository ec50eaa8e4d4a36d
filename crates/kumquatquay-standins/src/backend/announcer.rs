//! How a backend server announces itself to its node.

use std::sync::Arc;

use super::running_backend_server::BackendState;

pub(crate) async fn announce_until_stop(state: Arc<BackendState>) {
    let announcing = announce_all(&state);
    state.life.run_until_cancelled(announcing).await;
}

async fn announce_all(state: &BackendState) {
    loop {
        if let Some(announcement) = state.announcement()
            && let Err(error) = state.client.announce(&announcement).await
        {
            log::debug!("an announcement was not taken: {error}");
        }
        let interval = tokio::time::sleep(state.settings.announce_interval);
        tokio::select! {
            () = interval => {}
            () = state.announce_now.notified() => {}
        }
    }
}
