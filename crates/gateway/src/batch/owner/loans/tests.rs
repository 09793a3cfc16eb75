use std::net::SocketAddr;

use tokio::sync::oneshot::{self, Receiver};
use wire::{Hello, Kind};

use super::{Loan, Loans, MAX_ANSWERS};

fn process(node: u64) -> Hello {
    Hello { kind: Kind::Entry, vm: "entry-1".parse().expect("a name"), node }
}

/// Returns a loan, and the receiver that is closed when it ends.
fn loan(address: Option<SocketAddr>) -> (Loan, Receiver<()>) {
    let (returned, when) = oneshot::channel();
    (Loan { address, returned }, when)
}

fn has_ended(when: &mut Receiver<()>) -> bool {
    when.try_recv() == Err(oneshot::error::TryRecvError::Closed)
}

#[test]
fn a_loan_ends_when_its_borrower_returns_it() {
    let mut loans = Loans::default();
    let ((first, mut first_ended), (second, mut second_ended)) = (loan(None), loan(None));
    loans.begin(process(1), 7, first);
    loans.begin(process(2), 7, second);
    loans.end(&process(1), 7);
    assert!(has_ended(&mut first_ended));
    assert!(!has_ended(&mut second_ended));
}

#[test]
fn all_loans_to_a_process_that_has_ended_end() {
    let mut loans = Loans::default();
    let ((first, mut first_ended), (second, mut second_ended)) = (loan(None), loan(None));
    let (other, mut other_ended) = loan(None);
    loans.begin(process(1), 1, first);
    loans.begin(process(1), 2, second);
    loans.begin(process(2), 1, other);
    loans.end_all(&process(1));
    assert!(has_ended(&mut first_ended) && has_ended(&mut second_ended));
    assert!(!has_ended(&mut other_ended));
}

#[test]
fn a_process_is_watched_once_and_until_its_last_loan_ends() {
    let mut loans = Loans::default();
    assert!(!loans.watch(&process(1)), "nothing is lent to it");
    let (only, when) = loan(None);
    loans.begin(process(1), 1, only);
    assert!(loans.watch(&process(1)));
    assert!(!loans.watch(&process(1)), "watched already");
    assert!(loans.is_watched(&process(1)));
    drop(when);
    assert!(!loans.is_watched(&process(1)));
    let (next, _when) = loan(None);
    loans.begin(process(1), 2, next);
    assert!(loans.watch(&process(1)), "watched anew");
}

/// Guards against lenders that ask a borrower again and again because it goes on borrowing.
#[test]
fn a_process_that_goes_on_running_is_not_watched_for_long() {
    let mut loans = Loans::default();
    let (only, _when) = loan(None);
    loans.begin(process(1), 1, only);
    assert!(loans.watch(&process(1)));
    for _ in 1..MAX_ANSWERS {
        loans.record_running(&process(1));
        assert!(loans.is_watched(&process(1)), "it may be about to end");
    }
    loans.record_running(&process(1));
    assert!(!loans.is_watched(&process(1)));
    assert!(loans.watch(&process(1)), "the end of its next connection");
}

#[test]
fn the_address_of_a_borrower_outlasts_the_list() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut loans = Loans::default();
    let ((unlisted, _first), (listed, _second)) = (loan(None), loan(Some(address)));
    loans.begin(process(1), 1, unlisted);
    assert_eq!(loans.address(&process(1)), None);
    loans.begin(process(1), 2, listed);
    assert_eq!(loans.address(&process(1)), Some(address));
    assert_eq!(loans.address(&process(2)), None);
}
