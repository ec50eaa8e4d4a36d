//! Service whose backend servers the quarantine of this node guards.

use kumquatquay_wire::ServiceName;

use crate::Blackboard;

/// Service of this host; the last one that was known if its backend server is gone.
pub(super) fn own_service(board: &mut Blackboard) -> Option<ServiceName> {
    if let Some(service) = &board.members.own().service
        && board.quarantine.service.as_ref() != Some(service)
    {
        board.quarantine.service = Some(service.clone());
    }
    board.quarantine.service.clone()
}
