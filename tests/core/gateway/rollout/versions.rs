use teaselchute::core::gateway::rollout::{
    Phase, Versions,
    versions::{
        Permission,
        RELEASE_MS, //
    },
};

use super::{
    after,
    order, //
};

/// Version v1 serves for a minute, and the servers of v2 just started.
fn versions() -> Versions {
    let mut versions = Versions::default();
    versions.see(after(0), &"v1".into(), 60_000);
    versions.see(after(0), &"v2".into(), 0);
    versions
}

fn permissions(versions: &Versions, ms: u64) -> (Permission, Permission) {
    let permission = |version: &str| versions.permission(after(ms), &version.into());
    (permission("v1"), permission("v2"))
}

fn ordered() -> Versions {
    let mut versions = versions();
    versions.set_order(after(100), Some(&order("v2", 12_000, 1)));
    versions
}

use Permission::{
    Any,
    Barred,
    Fallback,
    Trial, //
};

// Guards against requests to new servers before the order for them is known.
#[test]
fn permission_without_order_waits() {
    let mut versions = versions();
    assert_eq!(permissions(&versions, 0), (Any, Barred));
    // Another server of the version starts later, and the first one counts.
    versions.see(after(2_000), &"v2".into(), 0);
    assert_eq!(permissions(&versions, RELEASE_MS - 1), (Any, Barred));
    assert_eq!(permissions(&versions, RELEASE_MS), (Any, Any));
}

// Guards against a service without servers since none of its versions has served for long.
#[test]
fn permission_first_version_serves() {
    let mut versions = Versions::default();
    versions.see(after(0), &"v1".into(), 0);
    versions.see(after(1), &"v2".into(), 0);
    assert_eq!(permissions(&versions, 1), (Any, Barred));
    versions.forget(after(2), &"v1".into());
    assert_eq!(permissions(&versions, 2), (Barred, Any));
}

// Guards against a version without servers or one that is unknown.
#[test]
fn permission_unknown_version_is_barred() {
    let versions = Versions::default();
    assert_eq!(permissions(&versions, 0), (Barred, Barred));
}

#[test]
fn permission_by_phase() {
    let mut versions = ordered();
    assert_eq!(permissions(&versions, 100), (Any, Trial));
    // An order that takes longer than the wait for one isn't an ordinary release.
    assert_eq!(permissions(&versions, 10_000), (Any, Trial));
    versions.adopt(after(200), 1, Phase::Promoting, false);
    assert_eq!(permissions(&versions, 200), (Fallback, Any));
    versions.adopt(after(300), 1, Phase::Completed, true);
    assert_eq!(permissions(&versions, 300), (Barred, Any));
}

// Guards against old versions that serve again after the order's record is deleted, and reverted ones that
// become an ordinary release.
#[test]
fn permission_final_phase_outlasts_order() {
    let mut versions = ordered();
    versions.adopt(after(200), 1, Phase::Completed, true);
    versions.set_order(after(300), None);
    assert_eq!(permissions(&versions, 300), (Barred, Any));

    let mut versions = ordered();
    versions.adopt(after(200), 1, Phase::Reverted, true);
    assert_eq!(permissions(&versions, 200), (Any, Barred));
    versions.set_order(after(300), None);
    assert_eq!(permissions(&versions, 60_000), (Any, Barred));
    // The registry loses the entries for a moment.
    versions.forget(after(61_000), &"v2".into());
    versions.see(after(62_000), &"v2".into(), 62_000);
    assert_eq!(permissions(&versions, 70_000), (Any, Barred));
}

// Guards against requests to the target of an order that is deleted or replaced.
#[test]
fn set_order_ends_previous() {
    let mut versions = ordered();
    versions.set_order(after(200), None);
    assert_eq!(permissions(&versions, 20_000), (Any, Barred));

    let mut versions = ordered();
    versions.see(after(200), &"v3".into(), 0);
    versions.set_order(after(300), Some(&order("v3", 12_000, 2)));
    assert_eq!(permissions(&versions, 20_000), (Any, Barred));
    assert_eq!(versions.permission(after(300), &"v3".into()), Trial);

    let mut versions = ordered();
    versions.adopt(after(200), 1, Phase::Reverted, true);
    versions.set_order(after(300), Some(&order("v2", 12_000, 2)));
    assert_eq!(permissions(&versions, 300), (Any, Trial));
}

// Guards against a version that gets nothing for ever since an earlier order for it was reverted.
#[test]
fn set_order_allows_reverted_version_again() {
    let mut versions = ordered();
    versions.adopt(after(200), 1, Phase::Reverted, true);
    versions.set_order(after(300), Some(&order("v2", 12_000, 2)));
    versions.adopt(after(400), 2, Phase::Completed, true);
    versions.set_order(after(500), None);
    assert_eq!(permissions(&versions, 5_000), (Barred, Any));
}

// Guards against the order of a version that nothing but it could serve.
#[test]
fn set_order_target_alone_serves() {
    let mut versions = Versions::default();
    versions.see(after(0), &"v2".into(), 60_000);
    versions.set_order(after(0), Some(&order("v2", 12_000, 1)));
    assert_eq!(versions.permission(after(0), &"v2".into()), Any);
}

// Guards against a new decider that takes promoted hosts back, and phases of another order.
#[test]
fn adopt_never_goes_back() {
    let mut versions = ordered();
    versions.adopt(after(200), 1, Phase::Promoting, false);
    versions.adopt(after(300), 1, Phase::Canary, false);
    assert_eq!(versions.phase(), Some(Phase::Promoting));
    versions.adopt(after(300), 7, Phase::Reverted, true);
    assert_eq!(versions.phase(), Some(Phase::Promoting));
    versions.adopt(after(400), 1, Phase::Reverted, false);
    versions.adopt(after(400), 1, Phase::Promoting, false);
    assert_eq!(permissions(&versions, 400), (Any, Barred));
}

// Guards against two deciders that announce different phases: what the store has decides.
#[test]
fn adopt_stored_phase_wins() {
    let mut versions = ordered();
    versions.adopt(after(200), 1, Phase::Promoting, false);
    versions.adopt(after(200), 1, Phase::Completed, false);
    assert_eq!(permissions(&versions, 200), (Fallback, Any));
    versions.adopt(after(300), 1, Phase::Reverted, false);
    versions.adopt(after(400), 1, Phase::Completed, true);
    assert_eq!(permissions(&versions, 400), (Barred, Any));
    versions.adopt(after(500), 1, Phase::Reverted, true);
    assert_eq!(permissions(&versions, 500), (Barred, Any));
}

// Guards against a host that goes on although it knows the target to be bad.
#[test]
fn stop_bars_target() {
    for phase in [Phase::Canary, Phase::Promoting] {
        let mut versions = ordered();
        versions.adopt(after(200), 1, phase, false);
        versions.stop(1);
        assert_eq!(permissions(&versions, 200), (Any, Barred));
        assert!(!versions.commit(1, 0));
    }
}

// Guards against requests to old servers after the host confirmed that it needs none.
#[test]
fn commit_bars_others() {
    let mut versions = ordered();
    assert!(!versions.commit(1, 0), "not promoted");
    assert_eq!(permissions(&versions, 100), (Any, Trial));
    versions.adopt(after(200), 1, Phase::Promoting, false);
    assert!(versions.commit(1, 3));
    assert_eq!(permissions(&versions, 200), (Fallback, Any));
    assert!(versions.commit(1, 0));
    assert_eq!(permissions(&versions, 200), (Barred, Any));
    versions.adopt(after(300), 1, Phase::Reverted, false);
    assert_eq!(permissions(&versions, 300), (Any, Barred));
}

// Guards against requests to a replaced version from a host that starts and reads the state of the order before
// the servers.
#[test]
fn see_after_completion() {
    let mut versions = Versions::default();
    versions.set_order(after(0), Some(&order("v2", 12_000, 1)));
    versions.adopt(after(100), 1, Phase::Completed, true);
    versions.see(after(200), &"v1".into(), 60_000);
    versions.see(after(200), &"v2".into(), 30_000);
    assert_eq!(permissions(&versions, 200), (Barred, Any));
    // A version whose servers start later is an ordinary release.
    versions.see(after(300), &"v3".into(), 0);
    let permission = versions.permission(after(300 + RELEASE_MS), &"v3".into());
    assert_eq!(permission, Any);
}
