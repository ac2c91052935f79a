//! Messages that must not keep a host from the next version.

#![allow(clippy::expect_used)]

mod harness;

use std::time::Duration;

use bytes::Bytes;
use dw_mesh::{Input, PlatformEvent};
use dw_tables::Hash;
use dw_wire::{Frame, FrameBody, Snapshot, VersionId};
use harness::World;

/// The time within which a version must be in force.
const IN_FORCE: Duration = Duration::from_millis(2500);

/// Starts one domain of sidecars, in which the last hosts are no candidates for a relay slot.
fn started(seed: u64) -> World {
    let mut world = World::sidecars(seed, &[8]);
    world.apply();
    (0..world.hosts.len()).for_each(|id| world.start(id));
    world.run(Duration::from_secs(15));
    world.expect_converged();
    world
}

/// Guards against a host that asks nobody for the next versions after it has refused one.
#[test]
fn a_refused_version_does_not_delay_the_next_one() {
    for seed in 0..8 {
        let mut world = started(seed);
        world.apply();
        world.run(Duration::from_secs(3));
        let id = (0..8).find(|id| !world.platform.watches.iter().any(|(host, _)| host == id));
        let id = id.expect("a host that does not watch the platform");
        // As a peer of another release sends them, with a field that this one does not know.
        let snapshot = Snapshot {
            version_id: Some(VersionId { number: 3, hash: Hash::of(b"3").as_bytes().to_vec() }),
            rows: Bytes::from_static(b"{\"routes\":[],\"pools\":[],\"colours\":[]}"),
            ..Snapshot::default()
        };
        let from = world.hosts[(id + 1) % 8].cfg.peer;
        let frame = Frame::new(FrameBody::Snapshot(snapshot));
        world.input(id, Input::Frame { from, frame });
        let number = world.apply();
        let next = world.apply();
        assert_eq!((number, next), (3, 4));
        world.run(IN_FORCE);
        assert_eq!(world.hosts[id].served.number, next, "seed {seed}");
    }
}

/// Guards against an answer of the platform that was overtaken by a newer one and replaces it.
#[test]
fn an_overtaken_answer_does_not_hide_the_newest_version() {
    for seed in 0..8 {
        let mut world = started(seed);
        let watching: Vec<_> = world.platform.watches.iter().map(|(id, _)| *id).collect();
        world.apply();
        let (head, revision) = world.platform.latest().expect("a head");
        world.apply();
        world.run(Duration::from_millis(3));
        for id in watching {
            let answer = PlatformEvent::HeadRead { head: head.clone(), revision };
            world.input(id, Input::Platform(answer));
        }
        world.run(IN_FORCE);
        for host in &world.hosts {
            assert_eq!(host.served.number, 3, "seed {seed}: {}", host.cfg.host);
        }
    }
}
