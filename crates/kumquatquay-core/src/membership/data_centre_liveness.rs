//! When other data centres were last heard from.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kumquatquay_wire::DataCentreName;

use crate::{Blackboard, Moment, Note, Output};

/// How long the members of a silent data centre stay in the member table.
///
/// Members of other data centres are not probed, so a data centre that is lost for good would
/// stay in all tables. Each host of a data centre of 255 receives a digest of each other data
/// centre every 11 minutes on average, so silence this long is no coincidence. A data centre
/// that was only partitioned is known again within seconds after the partition heals, by its
/// digest.
const SILENCE_LIMIT: Duration = Duration::from_secs(6 * 60 * 60);

/// When this node last received a datagram from each other data centre.
#[derive(Debug, Default)]
pub(crate) struct DataCentreLiveness {
    last_heard: BTreeMap<DataCentreName, Duration>,
}

impl DataCentreLiveness {
    /// Whether nothing was received from a data centre for [`SILENCE_LIMIT`].
    pub(super) fn is_expired(&self, now: Duration, data_centre: &DataCentreName) -> bool {
        let last_heard = self.last_heard.get(data_centre);
        last_heard.is_some_and(|last_heard| now >= *last_heard + SILENCE_LIMIT)
    }
}

/// Records contact with the data centre of a sender, if the sender is a known member.
pub(super) fn on_datagram_from(board: &mut Blackboard, now: Moment, from: SocketAddr) {
    let Some(record) = board.members.get(from) else {
        return;
    };
    let data_centre = record.data_centre.clone();
    record_contact(board, now, &data_centre);
}

/// Records contact with a data centre, if [`remove_expired`] tracks it.
pub(super) fn record_contact(board: &mut Blackboard, now: Moment, data_centre: &DataCentreName) {
    let last_heard = &mut board.membership.data_centre_liveness.last_heard;
    if let Some(last_heard) = last_heard.get_mut(data_centre) {
        *last_heard = now.monotonic;
    }
}

/// Removes the members of data centres that have been silent for [`SILENCE_LIMIT`].
pub(super) fn remove_expired(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let own = &board.settings.data_centre;
    let views = board.members.views();
    let remote = views.filter(|(name, view)| *name != own && !view.live().is_empty());
    let remote: Vec<DataCentreName> = remote.map(|(name, _)| name.clone()).collect();
    for name in remote {
        let last_heard = &mut board.membership.data_centre_liveness.last_heard;
        last_heard.entry(name.clone()).or_insert(now.monotonic);
        if board
            .membership
            .data_centre_liveness
            .is_expired(now.monotonic, &name)
        {
            board.members.remove_data_centre(&name);
            let detail = format!("received nothing from {name} for {SILENCE_LIMIT:?}");
            out.push(Output::Note(Note::warn("data_centre_forgotten", detail)));
        }
    }
}
