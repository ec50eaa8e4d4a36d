//! Other data centres that nobody has heard of for long.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kumquatquay_wire::DataCentreName;

use crate::{Blackboard, Moment, Note, Output};

/// How long the members of a silent data centre are remembered.
///
/// Its members are not probed from here, so a data centre that is lost for good
/// would stay in all tables. In one of 255 hosts each of them hears a digest of
/// each other data centre every 11 minutes on average, so hearing none for this
/// long is no chance. One that was only cut off is known again within seconds
/// of the heal, from its digest.
const SILENCE_LIMIT: Duration = Duration::from_secs(6 * 60 * 60);

/// When this node last heard of each other data centre from one of its members.
#[derive(Debug, Default)]
pub(crate) struct DataCentreLiveness {
    heard: BTreeMap<DataCentreName, Duration>,
}

impl DataCentreLiveness {
    /// Whether what others say of the members of a data centre is too old.
    pub(super) fn is_expired(&self, now: Duration, data_centre: &DataCentreName) -> bool {
        let heard = self.heard.get(data_centre);
        heard.is_some_and(|heard| now >= *heard + SILENCE_LIMIT)
    }
}

/// Hears a member of some data centre.
pub(super) fn on_datagram_from(board: &mut Blackboard, now: Moment, from: SocketAddr) {
    let Some(record) = board.members.get(from) else {
        return;
    };
    let data_centre = record.data_centre.clone();
    record_contact(board, now, &data_centre);
}

/// Hears a data centre's own word.
pub(super) fn record_contact(board: &mut Blackboard, now: Moment, data_centre: &DataCentreName) {
    let heard = &mut board.membership.data_centre_liveness.heard;
    if let Some(heard) = heard.get_mut(data_centre) {
        *heard = now.monotonic;
    }
}

/// Forgets the members of data centres that have been silent for too long.
pub(super) fn forget(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let own = &board.settings.data_centre;
    let views = board.members.views();
    let far = views.filter(|(name, view)| *name != own && !view.live().is_empty());
    let far: Vec<DataCentreName> = far.map(|(name, _)| name.clone()).collect();
    for name in far {
        let heard = &mut board.membership.data_centre_liveness.heard;
        heard.entry(name.clone()).or_insert(now.monotonic);
        if board
            .membership
            .data_centre_liveness
            .is_expired(now.monotonic, &name)
        {
            board.members.forget_data_centre(&name);
            let detail = format!("nobody in {name} was heard for {SILENCE_LIMIT:?}");
            out.push(Output::Note(Note::warn("data_centre_forgotten", detail)));
        }
    }
}
