use std::future::{pending, ready};

use super::{Drain, Phase};

/// How often each case is played.
const PLAYS: usize = 64;

/// Guards against an answer that is ready as the process ends and is replaced by a refusal.
#[tokio::test]
async fn a_result_that_is_ready_goes_before_the_end_of_the_process() {
    let drain = Drain::default();
    drain.enter_phase(Phase::Closing);
    for _ in 0..PLAYS {
        assert_eq!(drain.run_until_closing(ready(7)).await, Some(7));
        assert_eq!(drain.run_until_closing(pending::<u8>()).await, None);
    }
}
