//! Any bytes decode to a message or an error, and an encoded message decodes to itself.

use proptest::prelude::*;
use types::{Digest, Millis, Version};
use wire::session::{ControlMessage, EntryMessage, LoadReport};
use wire::{decode, encode};

proptest! {
    #[test]
    fn any_bytes_are_a_message_or_an_error(body in prop::collection::vec(any::<u8>(), 0..256)) {
        let mut frame = vec![1];
        frame.extend_from_slice(&body);
        let _ = decode::<EntryMessage>(&frame);
        let _ = decode::<ControlMessage>(&frame);
        let _ = decode::<LoadReport>(&frame);
        let _ = decode::<EntryMessage>(&body);
    }

    #[test]
    fn a_cut_or_longer_message_is_an_error(
        ticket: u64,
        version: u64,
        reason in ".{0,40}",
        cut in 1_usize..6,
    ) {
        let messages = [
            ControlMessage::Confirmed { ticket, version: Version(version) },
            ControlMessage::Rejected { ticket, reason },
            ControlMessage::Digest(Digest { sequence: ticket, loads: Vec::new(), entries: 3 }),
        ];
        for message in messages {
            let frame = encode(&message).unwrap();
            prop_assert_eq!(&decode::<ControlMessage>(&frame).unwrap(), &message);
            let cut = cut.min(frame.len() - 1);
            prop_assert!(decode::<ControlMessage>(&frame[..frame.len() - cut]).is_err());
            let mut longer = frame.to_vec();
            longer.push(0);
            prop_assert!(decode::<ControlMessage>(&longer).is_err());
        }
    }
}

#[test]
fn a_declared_length_without_bytes_is_an_error() {
    // A list with a declared length of 2^60 elements and no element.
    let frame = [1, 6, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x10];
    assert!(decode::<Vec<Millis>>(&frame[..1]).is_err());
    assert!(decode::<ControlMessage>(&frame).is_err());
    let huge = [&[1][..], &frame[2..]].concat();
    assert!(decode::<Vec<Millis>>(&huge).is_err());
}
