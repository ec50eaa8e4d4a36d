//! Headers, bodies and clients that the listeners share.

mod backend_client;
mod body;
mod headers;
mod peer_client;
mod refusal_response;
mod trace_headers;

pub(crate) use backend_client::{BackendClient, BackendFailure};
pub(crate) use body::{RelayBody, RequestBody, relayed, tracked, whole as whole_body};
pub(crate) use headers::{
    CALLER, HOST_BETWEEN_NODES, IDEMPOTENCY_KEY, NOT_RUN, OPERATION, OUTCOME, RESEND, SERVICE,
    TIMEOUT_MS, connection_options, forward_headers, header_text, is_for_connection,
};
pub(crate) use peer_client::{PeerClient, PeerFailure};
pub(crate) use refusal_response::{
    copy_refusal_headers, lost_response, plain_response, refusal_response,
};
pub(crate) use trace_headers::{TraceHeaders, write_trace_headers};
