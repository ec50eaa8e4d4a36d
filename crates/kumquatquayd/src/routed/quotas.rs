//! Quotas of workspaces: lent, kept and asked for.

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

/// How often keepers ask for loans: a loan outlives two answers that are lost.
const LOAN_INTERVAL: Duration = Duration::from_millis(200);

/// How long a keeper is waited for; an answer takes a round trip within the data centre. One that
/// was killed costs each request this until its link is found silent.
const KEEPER_PATIENCE: Duration = Duration::from_millis(100);

/// Time for which a keeper that gave no answer is passed over. Members find out a death within
/// seconds, and until then half of each quota would stand still and each request would wait.
const SILENT_TIME: Duration = Duration::from_secs(2);

/// Pause before a request looks again for keepers that can tell.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// Time after the start in which a node that nobody has told how many nodes there are owns
/// nothing.
const UNTOLD_TIME: Duration = Duration::from_secs(10);

/// Time after the start in which the register may know more nodes than the members.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// What a node owns, keeps and waits for.
#[derive(Debug)]
pub(crate) struct Quotas {
    shares: NodeQuotas,
    keepers: Borrowers,
    /// Borrowers that gave no answer, by when they were asked last.
    silent: HashMap<SocketAddr, Duration>,
    asked: HashMap<u64, oneshot::Sender<QuotaVerdict>>,
    last_number: u64,
}

impl Quotas {
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            shares: NodeQuotas::new(now),
            keepers: Borrowers::default(),
            silent: HashMap::new(),
            asked: HashMap::new(),
            last_number: 0,
        }
    }

    /// Forgets workspaces that are no more.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.shares.retain(is_known);
    }
}

/// A token that was taken for a request.
#[derive(Debug)]
pub(crate) struct QuotaToken {
    workspace: WorkspaceName,
    /// The keeper that gave it; `None` for this node.
    keeper: Option<SocketAddr>,
}

/// A token of a request that has not run; it goes back unless it is spent.
///
/// A caller may leave while its request is held, which drops this.
pub(crate) struct UnspentToken<'a> {
    node: &'a Rc<RoutedNode>,
    token: Option<QuotaToken>,
}

impl<'a> UnspentToken<'a> {
    pub(crate) fn new(node: &'a Rc<RoutedNode>, token: Option<QuotaToken>) -> Self {
        Self { node, token }
    }

    /// The request may run now.
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

/// Why a request has no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaRefusal {
    /// It is beyond the quota; when there is a token again, and the part of the quota that is
    /// lent to who said so, in millionths.
    Over {
        wait_ms: Option<u32>,
        share_millionths: u32,
    },
    /// No keeper answers.
    NoKeeper,
}

impl QuotaRefusal {
    /// Part of the quota that is lent to the keeper that was asked last.
    pub(crate) fn share(self) -> f64 {
        match self {
            Self::Over {
                share_millionths, ..
            } => f64::from(share_millionths) / 1e6,
            Self::NoKeeper => 0.0,
        }
    }
}

/// Takes a token for a request of a workspace, if that has a quota.
///
/// While the node starts, a request waits until there are keepers that can tell.
///
/// # Errors
///
/// [`QuotaRefusal`] if there is none.
pub(crate) async fn take_token(
    node: &Rc<RoutedNode>,
    workspace: &WorkspaceSettings,
    patience: Duration,
) -> Result<Option<QuotaToken>, QuotaRefusal> {
    let until = node.now() + patience;
    loop {
        let token = take_token_once(node, workspace).await;
        let can_wait = node.now() + LOOK_AGAIN < until;
        if token.as_ref().err() != Some(&QuotaRefusal::NoKeeper) || !can_wait {
            return token;
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}

async fn take_token_once(
    node: &Rc<RoutedNode>,
    workspace: &WorkspaceSettings,
) -> Result<Option<QuotaToken>, QuotaRefusal> {
    if workspace.quota.is_none() {
        return Ok(None);
    }
    let token = |keeper| {
        let workspace = workspace.name.clone();
        Ok(Some(QuotaToken { workspace, keeper }))
    };
    let mut refusal = QuotaRefusal::NoKeeper;
    for keeper in keepers_of(node, &workspace.name) {
        let own = keeper == node.links_address();
        let verdict = if own {
            Some(take_local_token(node, &workspace.name))
        } else {
            ask_keeper(node, keeper, &workspace.name).await
        };
        match verdict {
            Some(QuotaVerdict::Within) => return token((!own).then_some(keeper)),
            Some(QuotaVerdict::Over {
                wait_ms,
                share_millionths,
            }) if share_millionths > 0 => {
                refusal = QuotaRefusal::Over {
                    wait_ms,
                    share_millionths,
                };
            }
            // A keeper that nobody has lent anything yet can't tell.
            Some(QuotaVerdict::Over { .. } | QuotaVerdict::NotKnown) | None => {}
        }
    }
    // What nobody has asked this node to lend.
    if take_local_token(node, &workspace.name) == QuotaVerdict::Within {
        return token(None);
    }
    Err(refusal)
}

/// The keepers of a workspace, each once, that of the own data centre first.
fn keepers_of(node: &RoutedNode, workspace: &str) -> Vec<SocketAddr> {
    if !node.is_on(Mechanism::QuotaLoans) {
        return Vec::new();
    }
    let slice = slice_of(workspace);
    let quotas = node.quotas.borrow();
    let mut keepers: Vec<SocketAddr> = (0..HALVES_COUNT)
        .filter_map(|half| quotas.keepers.borrower(half, slice))
        .collect();
    keepers.dedup();
    keepers
}

async fn ask_keeper(
    node: &Rc<RoutedNode>,
    keeper: SocketAddr,
    workspace: &str,
) -> Option<QuotaVerdict> {
    let (open, receiver) = OpenAsk::new(node);
    let number = open.number;
    let workspace = WorkspaceName::from(workspace);
    let ask = FrameHead::QuotaAsk { number, workspace };
    send_frame(node, keeper, &ask);
    let answer = tokio::time::timeout(KEEPER_PATIENCE, receiver).await;
    drop(open);
    let mut quotas = node.quotas.borrow_mut();
    if answer.is_ok() {
        quotas.silent.remove(&keeper);
    } else {
        quotas.silent.insert(keeper, node.now());
        node.metrics.count("quota", "no_answer");
    }
    answer.ok()?.ok()
}

/// A question to a keeper that has no answer yet.
struct OpenAsk<'a> {
    node: &'a RoutedNode,
    number: u64,
}

impl<'a> OpenAsk<'a> {
    fn new(node: &'a RoutedNode) -> (Self, oneshot::Receiver<QuotaVerdict>) {
        let (sender, receiver) = oneshot::channel();
        let mut quotas = node.quotas.borrow_mut();
        quotas.last_number += 1;
        let number = quotas.last_number;
        quotas.asked.insert(number, sender);
        (Self { node, number }, receiver)
    }
}

impl Drop for OpenAsk<'_> {
    fn drop(&mut self) {
        self.node.quotas.borrow_mut().asked.remove(&self.number);
    }
}

/// Takes in a keeper's answer. One that comes too late was a token that nobody used.
pub(crate) fn on_quota_answer(node: &RoutedNode, number: u64, verdict: QuotaVerdict) {
    let asked = node.quotas.borrow_mut().asked.remove(&number);
    if let Some(asked) = asked {
        let _ = asked.send(verdict);
    }
}

/// Takes a token from what is lent to this node.
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

/// Gives a token back: its request has not run.
pub(crate) fn return_token(node: &Rc<RoutedNode>, token: QuotaToken) {
    match token.keeper {
        None => return_local_token(node, &token.workspace),
        Some(keeper) => {
            let workspace = token.workspace;
            send_frame(node, keeper, &FrameHead::QuotaReturn { workspace });
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

/// Lends a keeper what it asks for.
pub(crate) fn lend(
    node: &RoutedNode,
    keeper: SocketAddr,
    wanted: SliceSets,
    asked_ms: u64,
) -> FrameHead<'static> {
    let granted = lend_parts(node, keeper, wanted);
    FrameHead::Loan {
        lender: node.settings.listen.control,
        granted,
        asked_ms,
        nodes_count: nodes_count(node).unwrap_or(usize::MAX) as u32,
    }
}

fn lend_parts(node: &RoutedNode, keeper: SocketAddr, wanted: SliceSets) -> SliceSets {
    let nodes_count = nodes_count(node);
    let mut quotas = node.quotas.borrow_mut();
    quotas
        .shares
        .lend(node.boot_time(), keeper, wanted, nodes_count)
}

/// Takes in a loan of another node.
pub(crate) fn on_loan(node: &RoutedNode, lender: SocketAddr, loan: Loan) {
    let mut quotas = node.quotas.borrow_mut();
    quotas.shares.on_loan(node.boot_time(), lender, loan);
}

/// Nodes among which quotas are split; `None` while that isn't known.
///
/// Too few would let each own too much: a node that starts, or is cut off, sees only some. So the
/// most that it or any other one ever saw counts, and at first, or while no other one has told
/// it, what the register seems to have.
pub(crate) fn nodes_count(node: &RoutedNode) -> Option<usize> {
    let told_count = node.reported_nodes_count.get();
    let registered_count = node.register_estimate_count.get();
    let now = node.now();
    if told_count.max(registered_count) == 0 && now < UNTOLD_TIME {
        return None;
    }
    let known_count = node.nodes_count.get().max(told_count);
    if now < SETTLING_TIME || told_count == 0 {
        return Some(known_count.max(registered_count));
    }
    Some(known_count)
}

/// Asks the nodes of the own data centre for what they own, where this node is a keeper.
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

/// Ranks the members as they are now, those that failed to answer just now left out.
fn refresh_keepers(node: &RoutedNode) {
    let now = node.now();
    let data_centre = &node.settings.data_centre;
    let mut quotas = node.quotas.borrow_mut();
    let Quotas {
        keepers, silent, ..
    } = &mut *quotas;
    silent.retain(|_, asked| now < *asked + SILENT_TIME);
    node.engine.look_at_members(|members| {
        let heard = members.filter(|member| !silent.contains_key(&member.peer));
        keepers.refresh(data_centre, heard);
    });
}

fn ask_for_loans(node: &Rc<RoutedNode>) {
    refresh_keepers(node);
    let own = node.settings.listen.control;
    let wanted = node.quotas.borrow().keepers.borrowed_by(own);
    if wanted.is_empty() {
        return;
    }
    let asked = node.boot_time();
    let granted = lend_parts(node, own, wanted);
    let nodes_count = nodes_count(node).unwrap_or(usize::MAX);
    let loan = Loan {
        granted,
        asked,
        nodes_count,
    };
    on_loan(node, own, loan);
    for (peer, wanted) in asked_members(node, wanted) {
        let ask = FrameHead::LoanAsk {
            keeper: own,
            wanted,
            asked_ms: asked.as_millis() as u64,
        };
        send_frame(node, peer, &ask);
    }
}

/// Where those take calls that a keeper asks, and what it asks each for.
fn asked_members(node: &RoutedNode, wanted: SliceSets) -> Vec<(SocketAddr, SliceSets)> {
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
