//! Conversions between membership messages and their protobuf form.

use jayhall::core::membership::{
    BackendNotice, CustomerUse, DocumentRevision, HomeLoad, Member, MemberRecord, MemberState,
    Message, StateChange,
};
use jayhall_wire::{GossipReply, GossipRequest};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use prost::Message as _;

fn name() -> impl Strategy<Value = Box<str>> {
    "[a-z0-9-]{1,40}".prop_map(Into::into)
}

fn state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
        Just(MemberState::Dead),
    ]
}

fn full() -> impl Strategy<Value = MemberRecord> {
    let address = any::<([u8; 4], u16)>();
    let names = (name(), name(), name(), name());
    (names, address, state(), any::<u64>()).prop_map(
        |((node, vm, region, zone), address, state, incarnation)| {
            MemberRecord::Full(Member {
                node,
                vm,
                region,
                zone,
                peer_address: address.into(),
                caller_address: address.into(),
                operator_address: address.into(),
                state,
                incarnation,
            })
        },
    )
}

fn change() -> impl Strategy<Value = MemberRecord> {
    (name(), state(), any::<u64>()).prop_map(|(node, state, incarnation)| {
        MemberRecord::Change(StateChange {
            node,
            state,
            incarnation,
        })
    })
}

fn load() -> impl Strategy<Value = HomeLoad> {
    let counts = any::<(u64, u32, u32, u32, u32)>();
    let waiting = prop::collection::vec(any::<u64>(), 0..5);
    (name(), name(), counts, waiting).prop_map(|(node, model, counts, waiting)| HomeLoad {
        node,
        model,
        sequence: counts.0,
        slots: counts.1,
        running: counts.2,
        waiting: counts.3,
        waiting_tokens: waiting.into(),
        tokens_per_second: counts.4,
    })
}

fn used() -> impl Strategy<Value = CustomerUse> {
    (name(), name(), any::<(u64, u32, u64)>()).prop_map(|(node, customer, counts)| CustomerUse {
        node,
        customer,
        tokens: counts.0,
        in_flight: counts.1,
        sequence: counts.2,
    })
}

fn messages() -> impl Strategy<Value = Message> {
    let some = 0..6_usize;
    (
        name(),
        prop::collection::vec(prop_oneof![full(), change()], some.clone()),
        prop::collection::vec(load(), some.clone()),
        prop::collection::vec(used(), some.clone()),
        prop::collection::vec((name(), any::<u64>()), some.clone()),
        prop::collection::vec((name(), any::<u64>()), 0..3),
        any::<u64>(),
        prop::collection::vec(any::<u64>(), 0..64),
    )
        .prop_map(|parts| Message {
            from: parts.0,
            members: parts.1,
            loads: parts.2,
            uses: parts.3,
            notices: parts
                .4
                .into_iter()
                .map(|(vm, reclaim_at)| BackendNotice { vm, reclaim_at })
                .collect(),
            documents: parts
                .5
                .into_iter()
                .map(|(document, revision)| DocumentRevision { document, revision })
                .collect(),
            members_digest: parts.6,
            buckets: parts.7,
        })
}

fn config(seed: u64) -> Config {
    Config {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(81))]

    #[test]
    fn messages_round_trip_within_their_size_bound(message in messages()) {
        let req = GossipRequest::from(message.clone());
        prop_assert!(req.encoded_len() <= message.size());
        let bytes = req.encode_to_vec();
        let req = GossipRequest::decode(&*bytes).unwrap();
        prop_assert_eq!(&Message::try_from(req).unwrap(), &message);

        let reply = GossipReply::from(message.clone());
        let bytes = reply.encode_to_vec();
        let reply = GossipReply::decode(&*bytes).unwrap();
        let answer = Message { buckets: Vec::new(), ..message };
        prop_assert_eq!(Message::try_from(reply).unwrap(), answer);
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        message in messages(),
        at in any::<prop::sample::Index>(),
        bit in 0..8_u8,
    ) {
        // Random bytes rarely pass the decoder, whereas a message with one flipped bit often does.
        let _ = GossipRequest::decode(&*bytes).map(Message::try_from);
        let mut bytes = GossipRequest::from(message).encode_to_vec();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let _ = GossipRequest::decode(&*bytes).map(Message::try_from);
    }
}

#[test]
fn invalid_messages_are_rejected() {
    let no_sender = GossipRequest::default();
    assert!(Message::try_from(no_sender).is_err());

    let member = jayhall_wire::Member {
        node: "n1".into(),
        state: 9,
        ..Default::default()
    };
    let unknown_state = GossipRequest {
        from: "n0".into(),
        members: vec![member.clone()],
        ..Default::default()
    };
    assert!(Message::try_from(unknown_state).is_err());

    let no_address = jayhall_wire::Member {
        state: 1,
        region: "addis".into(),
        ..member
    };
    let unreadable = GossipRequest {
        from: "n0".into(),
        members: vec![no_address],
        ..Default::default()
    };
    assert!(Message::try_from(unreadable).is_err());
}
