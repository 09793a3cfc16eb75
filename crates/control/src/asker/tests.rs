use std::sync::Arc;
use std::sync::mpsc::{TryRecvError, sync_channel};
use std::time::Duration;

use arc_swap::ArcSwap;
use consensus::Role;
use state::{Command, Reply};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use types::{
    ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, Incarnation, LogIndex, NodeId, UnixMillis,
};

use super::Asker;
use crate::ask::{Answer, Ask, Denied, Told};
use crate::handle::{CoreHandle, Input};
use crate::peers::Peers;
use crate::roster::Roster;
use crate::view::View;

/// How soon the core answers. The clock of these tests stands still while anything runs: on a busy machine
/// an answer else came after the span's end, which an asker can't tell from a lost one.
const LOOK: Duration = Duration::from_millis(1);

/// How long an asker tries.
const SPAN: Duration = Duration::from_millis(300);

fn enter() -> Command {
    Command::Enter { vm: "e1".parse().expect("a name"), owner: Incarnation(1) }
}

fn member() -> Command {
    let vm = "c1".parse().expect("a name");
    let at = UnixMillis(1);
    Command::Member { what: "joins".to_owned(), vm, node: NodeId(1), operator: None, at }
}

fn done() -> Answer {
    Ok(Told::Reply(LogIndex(1), Reply::Done))
}

fn not_run() -> Answer {
    Err(Denied::NotRun("not the leader".to_owned()))
}

fn refused() -> Answer {
    Err(Denied::Refused("no".to_owned()))
}

fn uncertain() -> Answer {
    Err(Denied::Uncertain("lost".to_owned()))
}

/// Makes an asker whose core gives these answers, the last one over and over.
fn asker(answers: Vec<Answer>) -> Asker {
    let (inputs, taken) = sync_channel(16);
    tokio::spawn(async move {
        let mut answers = answers.into_iter().peekable();
        loop {
            let responder = match taken.try_recv() {
                Ok(Input::Ask(_, responder)) => responder,
                Err(TryRecvError::Empty) => {
                    sleep(LOOK).await;
                    continue;
                }
                Ok(_) | Err(TryRecvError::Disconnected) => return,
            };
            let last = answers.peek().cloned();
            let next = answers.next();
            if answers.peek().is_none() {
                answers = last.clone().into_iter().collect::<Vec<_>>().into_iter().peekable();
            }
            let _ = responder.send(next.or(last).expect("there is an answer"));
        }
    });
    let view = View { role: Role::Leader, ..View::default() };
    let core = CoreHandle {
        inputs,
        view: Arc::new(ArcSwap::from_pointee(view)),
        applied: watch::channel(LogIndex(0)).1,
        published: watch::channel(Arc::default()).1,
    };
    let peers = Arc::new(Peers::new(&[], Arc::new(Roster::default())));
    Asker { vm: "c1".parse().expect("a name"), core, peers }
}

#[tokio::test(start_paused = true)]
async fn an_uncertain_attempt_leaves_the_whole_uncertain() {
    // Symptom: an operator is told that a change did not run, sends it under a new id, and it is
    // in force twice.
    // Sequence: the leader proposes and is cut off; the asker tries again and meets no leader.
    // Cause: the last attempt, which certainly did not run, decided for the first one too.
    struct Case {
        name: &'static str,
        command: Command,
        answers: Vec<Answer>,
        expected: Answer,
    }
    let case = |name, command, answers, expected| Case { name, command, answers, expected };
    let cases = [
        case("answered", enter(), vec![done()], done()),
        case("a leader turns up", enter(), vec![not_run(), not_run(), done()], done()),
        case("none turns up", enter(), vec![not_run()], not_run()),
        case("refused", enter(), vec![refused()], refused()),
        case("lost, then no leader", enter(), vec![uncertain(), not_run()], uncertain()),
        case("lost, then refused", enter(), vec![uncertain(), refused()], uncertain()),
        case("lost, then answered", enter(), vec![uncertain(), done()], done()),
        case("lost, not idempotent", member(), vec![uncertain(), done()], uncertain()),
    ];
    for Case { name, command, answers, expected } in cases {
        let ask = Ask::Command(Box::new(command));
        let answer = asker(answers).ask(ask, Instant::now() + SPAN).await;
        assert_eq!(answer, expected, "{name}");
    }
}

fn claim() -> Command {
    let ticket =
        ClaimTicket { vm: "e1".parse().expect("a name"), owner: Incarnation(1), attempt: 1 };
    let key = ClaimKey { customer: "c".parse().expect("a name"), key: "k".parse().expect("a key") };
    let request = ClaimRequest { key, fingerprint: [0; 32], ticket };
    Command::Claim { request, at: UnixMillis(1) }
}

fn told(answer: ClaimAnswer) -> Answer {
    Ok(Told::Reply(LogIndex(1), Reply::Claim(answer)))
}

#[tokio::test(start_paused = true)]
async fn a_refused_claim_is_uncertain_while_an_attempt_before_is_open() {
    // Symptom: every resend of a request is told that it is under way, and nothing is.
    // Sequence: the first attempt to commit a claim is lost on its way, the second finds the key
    // held by another request, and the first is committed once that has ended.
    // Cause: the second's answer is taken for the whole's.
    struct Case {
        name: &'static str,
        answers: Vec<Answer>,
        certain: bool,
    }
    let case = |name, answers, certain| Case { name, answers, certain };
    let running = || told(ClaimAnswer::Running);
    let granted = || told(ClaimAnswer::Granted);
    let cases = [
        case("held by another", vec![running()], true),
        case("no leader, then held by another", vec![not_run(), running()], true),
        case("lost, then held by another", vec![uncertain(), running()], false),
        case("lost, then granted", vec![uncertain(), granted()], true),
    ];
    for Case { name, answers, certain } in cases {
        let answer = asker(answers).entry_command(claim(), Instant::now() + SPAN).await;
        assert_eq!(answer.is_ok(), certain, "{name}: {answer:?}");
    }
}
