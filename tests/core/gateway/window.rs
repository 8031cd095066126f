//! Peers that read slowly and peers that are lost.

use teaselchute::core::gateway::window::{
    Backlog,
    Window, //
};

fn window(queued: u64, unsent: u64) -> Window {
    Backlog { queued, unsent }.window()
}

/// Peers that read nothing for some seconds were taken for lost ones.
#[test]
fn window_closed_waits() {
    assert_eq!(window(35_956, 35_956), Window::Closed);
    assert!(
        Window::Closed.timeout_ms() >= 20_000,
        "callers wait so long"
    );
}

/// A peer that lost power acknowledges nothing of what is on its way, and must be given up soon.
#[test]
fn window_open_while_bytes_are_on_their_way() {
    assert_eq!(window(290, 0), Window::Open);
    assert_eq!(window(15_904, 7_712), Window::Open);
    assert_eq!(window(15_904, 15_903), Window::Open);
    assert!(Window::Open.timeout_ms() <= 2_000);
}

#[test]
fn window_open_without_backlog() {
    assert_eq!(window(0, 0), Window::Open);
    assert!(
        Backlog {
            queued: 0,
            unsent: 0
        }
        .is_empty()
    );
}
