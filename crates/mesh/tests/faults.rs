//! One test for each fault that the control plane has to survive.

#![allow(clippy::expect_used)]

mod harness;

use std::time::Duration;

use dw_mesh::PresetName;
use harness::World;

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Guards against a daemon that serves nothing because it has no peers.
#[test]
fn lone_daemon_serves_the_platform_head() {
    World::started(1, PresetName::Verband, &[1]);
}

/// Guards against a fleet that does not converge without any fault.
#[test]
fn fleet_converges() {
    for preset in [PresetName::Cooperative, PresetName::Verband] {
        let mut world = World::started(2, preset, &[5, 4, 4]);
        world.apply();
        world.run(secs(4));
        world.expect_settled();
    }
}
