//! Tests of requests whose handling panics.

use http::StatusCode;
use tokio::task::yield_now;

use super::*;

fn counter() -> IntCounter {
    IntCounter::new("panics", "Panics").expect("a counter")
}

/// Guards against a panic that ends the connection of its caller without an answer.
#[tokio::test]
async fn a_handler_that_panics_is_answered_and_counted() {
    let panics = counter();
    let handler = async {
        yield_now().await;
        panic!("a fault");
    };
    let reply = answer_anyway(handler, &panics).await;
    assert_eq!(reply.status(), StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(panics.get(), 1);
}

#[tokio::test]
async fn an_answer_passes_through() {
    let panics = counter();
    let reply = answer_anyway(async { Refusal::NoRoute.reply() }, &panics).await;
    assert_eq!(reply.status(), StatusCode::NOT_FOUND);
    assert_eq!(panics.get(), 0);
}
