//! Quotas of workspaces: loans between nodes, and tokens for requests.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use kumquatquay_core::{
    quota::{Borrowers, Loan, NodeQuotas, QuotaLimit, slice_of},
    routed::Mechanism,
};
use kumquatquay_wire::{
    MemberState,
    routed::{FrameHead, HALVES_COUNT, QuotaVerdict, SliceSets, WorkspaceName, WorkspaceSettings},
};
use tokio::sync::oneshot;

use super::{link::send_frame, node::RoutedNode};

/// Interval at which borrowers ask for loans; a loan lasts longer than two lost answers.
const LOAN_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a question to a borrower; an answer takes a round trip within the data centre. A
/// borrower that was killed delays each request by this much until its link is found silent.
const BORROWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a borrower that didn't answer is skipped. The membership detects a death
/// within seconds; until then half of each quota would be unusable and each request would wait.
const SILENT_BORROWER_TIME: Duration = Duration::from_secs(2);

/// Pause before a request tries again to find a borrower that can answer.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time after the start in which a node owns no part of any quota, unless another node or the
/// register has told it how many nodes there are.
const UNKNOWN_COUNT_TIME: Duration = Duration::from_secs(10);

/// Time after the start in which the register may list more nodes than the membership.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// State of the quotas at one node: its own parts, its loans and its open questions.
#[derive(Debug)]
pub(crate) struct Quotas {
    shares: NodeQuotas,
    borrowers: Borrowers,
    /// Borrowers that didn't answer, with the time of the last question.
    silent: HashMap<SocketAddr, Duration>,
    open_questions: HashMap<u64, oneshot::Sender<QuotaVerdict>>,
    last_number: u64,
}

impl Quotas {
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            shares: NodeQuotas::new(now),
            borrowers: Borrowers::default(),
            silent: HashMap::new(),
            open_questions: HashMap::new(),
            last_number: 0,
        }
    }

    /// Removes workspaces that no longer exist.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.shares.retain(is_known);
    }
}

/// Token taken for a request.
#[derive(Debug)]
pub(crate) struct QuotaToken {
    workspace: WorkspaceName,
    /// Borrower that issued the token; `None` for this node.
    borrower: Option<SocketAddr>,
}

/// Token of a request that has not run; dropping it returns the token unless it was spent.
///
/// It is also dropped when a caller leaves while its request is held.
pub(crate) struct UnspentToken<'a> {
    node: &'a Rc<RoutedNode>,
    token: Option<QuotaToken>,
}

impl<'a> UnspentToken<'a> {
    pub(crate) fn new(node: &'a Rc<RoutedNode>, token: Option<QuotaToken>) -> Self {
        Self { node, token }
    }

    /// Keeps the token for good, since the request may run now.
    pub(crate) fn spend(mut self) -> Option<QuotaToken> {
        self.token.take()
    }
}

impl Drop for UnspentToken<'_> {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            return_token(self.node, token);
        }
    }
}

/// Why a request gets no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaRefusal {
    /// The quota is used up. Carries the time until the next token, if that is known, and the
    /// part of the quota in millionths that is lent to the borrower that answered.
    Exceeded {
        wait_ms: Option<u32>,
        share_millionths: u32,
    },
    /// No borrower can answer.
    NoBorrower,
}

impl QuotaRefusal {
    /// Part of the quota that is lent to the borrower that answered last.
    pub(crate) fn share(self) -> f64 {
        match self {
            Self::Exceeded {
                share_millionths, ..
            } => f64::from(share_millionths) / 1e6,
            Self::NoBorrower => 0.0,
        }
    }
}

/// Takes a token for a request of a workspace, if the workspace has a quota.
///
/// While no borrower can answer, as after the start of the node, it tries again for up to
/// `max_wait`.
///
/// # Errors
///
/// [`QuotaRefusal`] if there is no token.
pub(crate) async fn take_token(
    node: &Rc<RoutedNode>,
    workspace: &WorkspaceSettings,
    max_wait: Duration,
) -> Result<Option<QuotaToken>, QuotaRefusal> {
    let deadline = node.now() + max_wait;
    loop {
        let token = take_token_once(node, workspace).await;
        let can_wait = node.now() + RETRY_PAUSE < deadline;
        if token.as_ref().err() != Some(&QuotaRefusal::NoBorrower) || !can_wait {
            return token;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn take_token_once(
    node: &Rc<RoutedNode>,
    workspace: &WorkspaceSettings,
) -> Result<Option<QuotaToken>, QuotaRefusal> {
    if workspace.quota.is_none() {
        return Ok(None);
    }
    let token = |borrower| {
        let workspace = workspace.name.clone();
        Ok(Some(QuotaToken {
            workspace,
            borrower,
        }))
    };
    let mut refusal = QuotaRefusal::NoBorrower;
    for borrower in borrowers_of(node, &workspace.name) {
        let is_own = borrower == node.links_address();
        let verdict = if is_own {
            Some(take_local_token(node, &workspace.name))
        } else {
            ask_borrower(node, borrower, &workspace.name).await
        };
        match verdict {
            Some(QuotaVerdict::Within) => return token((!is_own).then_some(borrower)),
            Some(QuotaVerdict::Over {
                wait_ms,
                share_millionths,
            }) if share_millionths > 0 => {
                refusal = QuotaRefusal::Exceeded {
                    wait_ms,
                    share_millionths,
                };
            }
            // A borrower to which nothing has been lent yet can't answer.
            Some(QuotaVerdict::Over { .. } | QuotaVerdict::NotKnown) | None => {}
        }
    }
    // The part of the quota that this node owns and that nobody has borrowed.
    if take_local_token(node, &workspace.name) == QuotaVerdict::Within {
        return token(None);
    }
    Err(refusal)
}

/// Borrowers of a workspace's quota, without duplicates; the one of the own data centre comes
/// first.
fn borrowers_of(node: &RoutedNode, workspace: &str) -> Vec<SocketAddr> {
    if !node.is_on(Mechanism::QuotaLoans) {
        return Vec::new();
    }
    let slice = slice_of(workspace);
    let quotas = node.quotas.borrow();
    let mut borrowers: Vec<SocketAddr> = (0..HALVES_COUNT)
        .filter_map(|half| quotas.borrowers.borrower(half, slice))
        .collect();
    borrowers.dedup();
    borrowers
}

async fn ask_borrower(
    node: &Rc<RoutedNode>,
    borrower: SocketAddr,
    workspace: &str,
) -> Option<QuotaVerdict> {
    let (open, receiver) = OpenQuestion::new(node);
    let number = open.number;
    let workspace = WorkspaceName::from(workspace);
    let ask = FrameHead::QuotaRequest { number, workspace };
    send_frame(node, borrower, &ask);
    let answer = tokio::time::timeout(BORROWER_TIMEOUT, receiver).await;
    drop(open);
    let mut quotas = node.quotas.borrow_mut();
    if answer.is_ok() {
        quotas.silent.remove(&borrower);
    } else {
        quotas.silent.insert(borrower, node.now());
        node.metrics.count("quota", "no_answer");
    }
    answer.ok()?.ok()
}

/// Question to a borrower that has no answer yet.
struct OpenQuestion<'a> {
    node: &'a RoutedNode,
    number: u64,
}

impl<'a> OpenQuestion<'a> {
    fn new(node: &'a RoutedNode) -> (Self, oneshot::Receiver<QuotaVerdict>) {
        let (sender, receiver) = oneshot::channel();
        let mut quotas = node.quotas.borrow_mut();
        quotas.last_number += 1;
        let number = quotas.last_number;
        quotas.open_questions.insert(number, sender);
        (Self { node, number }, receiver)
    }
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        self.node
            .quotas
            .borrow_mut()
            .open_questions
            .remove(&self.number);
    }
}

/// Handles the answer of a borrower. An answer that is too late is ignored; its token stays
/// unused.
pub(crate) fn on_quota_answer(node: &RoutedNode, number: u64, verdict: QuotaVerdict) {
    let sender = node.quotas.borrow_mut().open_questions.remove(&number);
    if let Some(sender) = sender {
        let _ = sender.send(verdict);
    }
}

/// Takes a token from the quota that this node has at present.
pub(crate) fn take_local_token(node: &RoutedNode, workspace: &str) -> QuotaVerdict {
    let Some(limit) = limit_of(node, workspace) else {
        return QuotaVerdict::NotKnown;
    };
    let mut quotas = node.quotas.borrow_mut();
    match quotas.shares.try_take(node.boot_time(), workspace, limit) {
        Ok(()) => QuotaVerdict::Within,
        Err(over) => {
            let wait_ms = over.wait.map(|wait| wait.as_millis());
            QuotaVerdict::Over {
                wait_ms: wait_ms.and_then(|wait_ms| u32::try_from(wait_ms).ok()),
                share_millionths: (over.share * 1e6) as u32,
            }
        }
    }
}

/// Returns the token of a request that has not run.
pub(crate) fn return_token(node: &Rc<RoutedNode>, token: QuotaToken) {
    match token.borrower {
        None => return_local_token(node, &token.workspace),
        Some(borrower) => {
            let workspace = token.workspace;
            send_frame(node, borrower, &FrameHead::QuotaReturn { workspace });
        }
    }
}

pub(crate) fn return_local_token(node: &RoutedNode, workspace: &str) {
    if let Some(limit) = limit_of(node, workspace) {
        let mut quotas = node.quotas.borrow_mut();
        quotas
            .shares
            .return_token(node.boot_time(), workspace, limit);
    }
}

fn limit_of(node: &RoutedNode, workspace: &str) -> Option<QuotaLimit> {
    let table = node.routes()?;
    let quota = table.workspaces().quota(workspace)?;
    Some(QuotaLimit::of(quota, node.settings.quota_tolerance))
}

/// Lends a borrower what it asks for.
pub(crate) fn lend(
    node: &RoutedNode,
    borrower: SocketAddr,
    wanted: SliceSets,
    asked_ms: u64,
) -> FrameHead<'static> {
    let granted = grant_slices(node, borrower, wanted);
    FrameHead::Loan {
        lender: node.settings.listen.control,
        granted,
        asked_ms,
        nodes_count: nodes_count(node).unwrap_or(usize::MAX) as u32,
    }
}

fn grant_slices(node: &RoutedNode, borrower: SocketAddr, wanted: SliceSets) -> SliceSets {
    let nodes_count = nodes_count(node);
    let mut quotas = node.quotas.borrow_mut();
    quotas
        .shares
        .lend(node.boot_time(), borrower, wanted, nodes_count)
}

/// Records a loan from another node, or from this one.
pub(crate) fn on_loan(node: &RoutedNode, lender: SocketAddr, loan: Loan) {
    let mut quotas = node.quotas.borrow_mut();
    quotas.shares.on_loan(node.boot_time(), lender, loan);
}

/// Number of nodes among which quotas are split; `None` while it isn't known.
///
/// A count that is too small would give each node too much. A node that starts or is cut off
/// sees only some of the nodes, so the result is the largest count that this or any other node
/// has seen. At the start, or while no other node has reported a count, the estimate from the
/// register counts too.
pub(crate) fn nodes_count(node: &RoutedNode) -> Option<usize> {
    let reported_count = node.reported_nodes_count.get();
    let registered_count = node.register_estimate_count.get();
    let now = node.now();
    if reported_count.max(registered_count) == 0 && now < UNKNOWN_COUNT_TIME {
        return None;
    }
    let known_count = node.nodes_count.get().max(reported_count);
    if now < SETTLING_TIME || reported_count == 0 {
        return Some(known_count.max(registered_count));
    }
    Some(known_count)
}

/// Asks other nodes for loans where this node is a borrower, and makes the parts of its own quota
/// that nobody has borrowed usable here.
pub(crate) async fn run_quota_loans(node: Rc<RoutedNode>) {
    loop {
        tokio::time::sleep(LOAN_INTERVAL).await;
        let has_quotas = node
            .routes()
            .is_some_and(|table| table.workspaces().have_quotas());
        if has_quotas {
            let nodes_count = nodes_count(&node);
            let mut quotas = node.quotas.borrow_mut();
            quotas.shares.use_unlent(node.boot_time(), nodes_count);
            drop(quotas);
            if node.is_on(Mechanism::QuotaLoans) {
                ask_for_loans(&node);
            }
        }
    }
}

/// Ranks the present members, without those that failed to answer recently.
fn refresh_borrowers(node: &RoutedNode) {
    let now = node.now();
    let data_centre = &node.settings.data_centre;
    let mut quotas = node.quotas.borrow_mut();
    let Quotas {
        borrowers, silent, ..
    } = &mut *quotas;
    silent.retain(|_, asked| now < *asked + SILENT_BORROWER_TIME);
    node.engine.look_at_members(|members| {
        let responsive = members.filter(|member| !silent.contains_key(&member.peer));
        borrowers.refresh(data_centre, responsive);
    });
}

fn ask_for_loans(node: &Rc<RoutedNode>) {
    refresh_borrowers(node);
    let own = node.settings.listen.control;
    let wanted = node.quotas.borrow().borrowers.borrowed_by(own);
    if wanted.is_empty() {
        return;
    }
    let asked = node.boot_time();
    let granted = grant_slices(node, own, wanted);
    let nodes_count = nodes_count(node).unwrap_or(usize::MAX);
    let loan = Loan {
        granted,
        asked,
        nodes_count,
    };
    on_loan(node, own, loan);
    for (peer, wanted) in members_to_ask(node, wanted) {
        let ask = FrameHead::LoanRequest {
            borrower: own,
            wanted,
            asked_ms: asked.as_millis() as u64,
        };
        send_frame(node, peer, &ask);
    }
}

/// Link addresses of the members that a borrower asks for loans, and the slices it asks of
/// each.
fn members_to_ask(node: &RoutedNode, wanted: SliceSets) -> Vec<(SocketAddr, SliceSets)> {
    let own = node.settings.listen.control;
    let data_centre = &node.settings.data_centre;
    node.engine.look_at_members(|members| {
        let others =
            members.filter(|member| member.state != MemberState::Gone && member.control != own);
        let asked = others.map(|member| {
            let is_near = member.data_centre == *data_centre;
            (member.peer, Borrowers::requested_from(wanted, is_near))
        });
        asked.filter(|(_, wanted)| !wanted.is_empty()).collect()
    })
}
