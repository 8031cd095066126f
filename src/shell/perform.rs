//! Carries out what the core wants: answers, calls, appends, orders, frames, log lines.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc, //
};

use ntex::{
    rt,
    util::{
        Either,
        select, //
    }, //
};
use tokio::sync::oneshot;

use super::{
    Shell,
    exchange::Reply,
    logging,
    metrics::label, //
};
use crate::{
    core::{
        call::{
            self,
            Call,
            Completion, //
        },
        decision::Decision,
        document,
        log,
        node::{
            Action,
            Event, //
        },
        orders,
        outcome,
        replica, //
    },
    edges::{
        Edges,
        Ended,
        Error,
        Factory,
        Piece, //
    },
    names::Name,
};

thread_local! {
    /// The edges of this thread. Clients belong to the thread that opened them.
    static EDGES: RefCell<Option<Rc<Edges>>> = const { RefCell::new(None) };
}

/// Opens the edges of this thread, unless they are open.
///
/// # Errors
///
/// As [`Factory::open`].
pub async fn open_edges(factory: &dyn Factory) -> Result<(), Error> {
    let is_open = EDGES.with_borrow(Option::is_some);
    if !is_open {
        let edges = factory.open().await?;
        EDGES.set(Some(Rc::new(edges)));
    }
    Ok(())
}

/// Closes the edges of this thread, and with them all their connections.
pub fn close_edges() {
    EDGES.set(None);
}

/// Returns the edges of this thread.
pub(super) fn edges() -> Option<Rc<Edges>> {
    // The thread's storage may be gone already while the thread ends.
    EDGES
        .try_with(|edges| edges.borrow().clone())
        .unwrap_or_default()
}

/// Gives callers what is theirs and returns the other actions.
pub(super) fn give_callers(shell: &Arc<Shell>, actions: Vec<Action>) -> Vec<Action> {
    let mut rest = Vec::with_capacity(actions.len());
    for action in actions {
        match action {
            Action::Caller(action) => give_caller(shell, action),
            action => rest.push(action),
        }
    }
    rest
}

fn give_caller(shell: &Arc<Shell>, action: outcome::Action) {
    let (caller, reply) = match action {
        outcome::Action::Piece {
            caller,
            index,
            piece,
        } => (caller, Reply::Piece { index, piece }),
        outcome::Action::Answer {
            caller,
            request,
            body,
        } => (caller, Reply::Answer { request, body }),
        outcome::Action::Refuse {
            caller,
            request,
            refusal,
        } => (caller, Reply::Refuse { request, refusal }),
        // The node keeps all others to itself.
        _ => return,
    };
    shell.exchanges.give(caller, reply);
}

/// Carries out actions, in tasks of this thread where they take time.
pub(super) fn carry_out(shell: &Arc<Shell>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Frame { to, message } => shell.send_frame(&to, *message),
            Action::Log(action) => append_or_read(shell, action),
            Action::Send { call, server } => send(shell, *call, server),
            Action::Abort { call, .. } => abort(shell, call),
            Action::Caller(action) => give_caller(shell, action),
            Action::AnswerProposal { requester, answer } => proposed(shell, requester, answer),
            Action::Order(order) => give_order(shell, order),
            Action::ReadEngine { pool, server } => read_engine(shell, pool, server),
            Action::Decide(decision) => decide(shell, decision),
        }
    }
}

fn decide(shell: &Arc<Shell>, decision: Decision) {
    logging::log_decision(&shell.logger, &decision);
    shell
        .metrics
        .decisions
        .add(1, &[label("rule", &decision.rule)]);
    shell.why.keep(decision);
}

fn proposed(shell: &Arc<Shell>, requester: replica::Requester, answer: replica::Answer) {
    if let Some(waiting) = shell.requesters.lock().remove(&requester) {
        // The operator may have hung up.
        let _ = waiting.send(answer);
    }
}

fn abort(shell: &Arc<Shell>, call: call::Id) {
    if let Some(abort) = shell.aborts.lock().remove(&call) {
        // The call may have ended just now.
        let _ = abort.send(());
    }
}

fn append_or_read(shell: &Arc<Shell>, action: log::Action) {
    let shell = shell.clone();
    rt::spawn(async move {
        let event = match action {
            log::Action::Append { token, record } => {
                let appended = match edges() {
                    Some(edges) => edges.log.append(&record).await,
                    None => Err(Error::NoAnswer("the thread ends".to_string())),
                };
                match appended {
                    Ok(offset) => log::Event::Appended { token, offset },
                    Err(error) => {
                        platform_failed(&shell, "log", &error);
                        log::Event::AppendUnknown { token }
                    }
                }
            }
            log::Action::Read { token, from } => read(&shell, token, from).await,
        };
        shell.step(Event::Log(event));
    });
}

async fn read(shell: &Arc<Shell>, token: log::Token, from: log::Offset) -> log::Event {
    let page = match edges() {
        Some(edges) => edges.log.read(from).await,
        None => Err(Error::NoAnswer("the thread ends".to_string())),
    };
    match page {
        Ok(page) => {
            let entries = page.entries.into_iter();
            let entries = entries.map(|(offset, record)| log::Entry { offset, record });
            log::Event::Read {
                token,
                log_start: page.first,
                log_end: page.end,
                entries: entries.collect(),
            }
        }
        Err(error) => {
            platform_failed(shell, "log", &error);
            log::Event::ReadFailed { token }
        }
    }
}

/// Counts and logs a failure of the platform.
pub(super) fn platform_failed(shell: &Shell, service: &'static str, error: &Error) {
    shell
        .metrics
        .platform_failures
        .add(1, &[label("service", service)]);
    slog::debug!(shell.logger, "the platform failed"; "service" => service, "error" => %error);
}

/// Where a server stands, and how it is called.
struct Target {
    address: std::net::SocketAddr,
    kind: document::Kind,
    timeout_ms: u64,
}

fn target(shell: &Shell, pool: &Name, server: &Name) -> Option<Target> {
    let view = shell.node.view();
    let pool = view.document.pools.get(pool)?;
    let server = pool.servers.get(server)?;
    Some(Target {
        address: server.address,
        kind: pool.kind,
        timeout_ms: pool.call_timeout_ms,
    })
}

fn send(shell: &Arc<Shell>, call: Call, server: Name) {
    // The abort is known before the call starts, so that none comes too early.
    let (abort, aborted) = oneshot::channel();
    shell.aborts.lock().insert(call.id, abort);
    let shell = shell.clone();
    rt::spawn(async move {
        let ended = run(&shell, &call, &server, aborted).await;
        shell.aborts.lock().remove(&call.id);
        let labels = [
            label("pool", &call.pool),
            label("end", end_word(&ended.end)),
        ];
        shell.metrics.calls.add(1, &labels);
        shell.step(Event::Ended {
            call: call.id,
            pool: call.pool.clone(),
            server,
            incarnation: ended.incarnation,
            end: ended.end,
        });
    });
}

async fn run(
    shell: &Arc<Shell>,
    call: &Call,
    server: &Name,
    aborted: oneshot::Receiver<()>,
) -> Ended {
    let not_sent = Ended {
        incarnation: None,
        end: Completion::NotSent,
    };
    let Some(target) = target(shell, &call.pool, server) else {
        return not_sent;
    };
    let Some(edges) = edges() else {
        return not_sent;
    };
    let mut on_piece = |piece: Piece| {
        shell.step(Event::Piece {
            call: call.id,
            pool: call.pool.clone(),
            incarnation: piece.incarnation,
            index: piece.index,
            piece: piece.text.into(),
        });
    };
    let running = edges.servers.call(
        target.kind,
        target.address,
        call,
        target.timeout_ms,
        &mut on_piece,
    );
    // An abort whose sender is dropped never comes, and must not end the call.
    let aborted = async {
        if aborted.await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    match select(running, aborted).await {
        Either::Left(ended) => ended,
        Either::Right(()) => {
            // The connection is closed with the future. The word to the server is only a courtesy.
            let name = call.wire_id();
            let _ = edges.servers.cancel(target.address, &name).await;
            Ended {
                incarnation: None,
                end: Completion::Cancelled,
            }
        }
    }
}

fn end_word(end: &Completion) -> &'static str {
    match end {
        Completion::Answered(_) => "answered",
        Completion::Refused => "refused",
        Completion::Failed => "failed",
        Completion::NotSent => "not_sent",
        Completion::Lost => "lost",
        Completion::Cancelled => "cancelled",
    }
}

fn give_order(shell: &Arc<Shell>, order: orders::Order) {
    let shell = shell.clone();
    rt::spawn(async move {
        let target = target(&shell, &order.pool, &order.server);
        let outcome = match (target, edges()) {
            (Some(target), Some(edges)) => edges.servers.order(target.address, &order).await,
            _ => orders::Outcome::Refused("the server is not in the document".into()),
        };
        let event = orders::Event::Answer {
            id: order.id,
            outcome,
        };
        shell.step(Event::Engine(event));
    });
}

fn read_engine(shell: &Arc<Shell>, pool: Name, server: Name) {
    let shell = shell.clone();
    rt::spawn(async move {
        let target = target(&shell, &pool, &server);
        let report = match (target, edges()) {
            (Some(target), Some(edges)) => edges.servers.report(target.address).await.ok(),
            _ => None,
        };
        let event = orders::Event::Report {
            pool,
            server,
            report,
        };
        shell.step(Event::Engine(event));
    });
}
