use std::{
    collections::HashMap,
    sync::Arc, //
};

use teaselchute::core::gateway::config::{
    Access,
    Config,
    Denial,
    Kind,
    Limits,
    Organisation,
    Route,
    Target, //
};

fn route(name: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        prefix: prefix.into(),
        kind: Kind::Safe,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 0,
        targets: vec![Target {
            service: "orders".into(),
            weight: 1,
        }],
        max_attempts: 2,
        stages: Vec::new(),
        public,
        shares_prompts: false,
        regions: Vec::new(),
    }
}

fn config(routes: Vec<Route>) -> Config {
    let organisation = Arc::new(Organisation {
        name: "desk".into(),
        priority: None,
        regions: Vec::new(),
    });
    let organisations = HashMap::from([("secret".into(), organisation)]);
    config_of(routes, Access::Organisations(organisations))
}

fn config_of(routes: Vec<Route>, access: Access) -> Config {
    let limits = Limits {
        head_bytes: 16_384,
        body_bytes: 4_194_304,
        head_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    Config::new(1, routes, Vec::new(), access, limits)
}

fn routes() -> Vec<Route> {
    vec![route("r", "/a/", false), route("open", "/open/", true)]
}

#[test]
fn route_longest_prefix_first() {
    let config = config(vec![
        route("short", "/a/", false),
        route("long", "/a/b/", false),
    ]);
    let name = |path| {
        config
            .route("host", path)
            .map(|route| route.name.to_string())
    };
    assert_eq!(name("/a/b/c"), Some("long".to_string()));
    assert_eq!(name("/a/c"), Some("short".to_string()));
    assert_eq!(name("/b/"), None);
    assert!(config.route("other", "/a/b/c").is_none());
}

#[test]
fn admit_by_credential() {
    let config = config(vec![
        route("r", "/a/", false),
        route("open", "/open/", true),
    ]);
    let admitted = config.admit("host", "/a/1", Some("secret")).expect("known");
    assert_eq!(
        admitted.1.map(|organisation| organisation.name.clone()),
        Some("desk".into())
    );
    for credential in [None, Some("wrong"), Some("")] {
        let denied = config.admit("host", "/a/1", credential).map(|_| ());
        assert_eq!(denied, Err(Denial::Unauthorised));
    }
    assert!(config.admit("host", "/open/1", None).is_ok());
    let denied = config.admit("host", "/b/1", Some("secret")).map(|_| ());
    assert_eq!(denied, Err(Denial::NoRoute));
}

/// The last credential was taken away. Its absence must not be taken for a configuration without
/// organisations, which admits everyone.
#[test]
fn admit_no_credential_left() {
    let config = config_of(routes(), Access::Organisations(HashMap::new()));
    for credential in [None, Some("secret"), Some("wrong"), Some("")] {
        let denied = config.admit("host", "/a/1", credential).map(|_| ());
        assert_eq!(denied, Err(Denial::Unauthorised), "{credential:?}");
        assert!(config.admit("host", "/open/1", credential).is_ok());
    }
}

/// Without organisations, callers have no credentials. One that is sent all the same was never given out
/// or is that of an organisation that was removed.
#[test]
fn admit_no_organisations() {
    let config = config_of(routes(), Access::Open);
    assert!(config.admit("host", "/a/1", None).is_ok());
    for credential in ["secret", ""] {
        let denied = config.admit("host", "/a/1", Some(credential)).map(|_| ());
        assert_eq!(denied, Err(Denial::Unauthorised));
        assert!(config.admit("host", "/open/1", Some(credential)).is_ok());
    }
}

#[test]
fn admit_no_routes() {
    let config = config(Vec::new());
    let denied = config.admit("host", "/a/1", Some("secret")).map(|_| ());
    assert_eq!(denied, Err(Denial::NoRoute));
}

#[test]
fn target_by_weight() {
    let mut route = route("r", "/a/", false);
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    route.targets = vec![target("old", 90), target("new", 10)];
    let new = (0..1_000).filter(|&draw| route.target(draw) == Some(&"new".into()));
    assert_eq!(new.count(), 100);
}

#[test]
fn target_without_weights() {
    let mut route = route("r", "/a/", false);
    route.targets[0].weight = 0;
    assert_eq!(route.target(7), Some(&"orders".into()));
    route.targets.clear();
    assert_eq!(route.target(7), None);
}
