use teaselchute::core::gateway::{
    balance::Segment,
    cache,
    content::{
        Content,
        MAX_KEYS,
        Request, //
    },
};

const REQUEST: Request<'static> = Request {
    method: "POST",
    host: "shop.example",
    path: "/look/1?kind=2",
    caller: "tannery",
    prompt: "",
    body: b"three hides",
};

fn whole(request: &Request<'_>) -> cache::Key {
    Content::new(request, &[]).whole()
}

#[test]
fn whole_same_for_repetitions_only() {
    let key = whole(&REQUEST);
    assert_eq!(whole(&REQUEST), key);
    let others = [
        Request {
            method: "GET",
            ..REQUEST
        },
        Request {
            host: "other.example",
            ..REQUEST
        },
        Request {
            path: "/look/1?kind=3",
            ..REQUEST
        },
        Request {
            caller: "other",
            ..REQUEST
        },
        Request {
            prompt: "5c1e:800",
            ..REQUEST
        },
        Request {
            body: b"four hides",
            ..REQUEST
        },
    ];
    for other in &others {
        assert_ne!(whole(other), key, "{other:?}");
    }
}

#[test]
fn keys_shared_parts() {
    let segment = |index: u32| Segment {
        id: format!("part-{index}").into(),
        tokens: 100,
    };
    let prompt: Vec<Segment> = (0..3).map(segment).collect();
    let content = Content::new(&REQUEST, &prompt);
    // The last part belongs to the request itself.
    let keys = [
        content.whole(),
        cache::key(&prompt[0]),
        cache::key(&prompt[1]),
    ];
    assert_eq!(content.keys(), keys);
    let long: Vec<Segment> = (0..20).map(segment).collect();
    assert_eq!(Content::new(&REQUEST, &long).keys().len(), MAX_KEYS);
}
