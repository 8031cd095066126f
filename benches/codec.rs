//! Time of encoding and decoding one frame.
#![expect(missing_docs, reason = "criterion's macro makes a public function")]

use std::hint::black_box;

use criterion::{
    Criterion,
    criterion_group,
    criterion_main, //
};
use teaselchute::{
    core::{
        host::{
            Host,
            Id, //
        },
        replica,
        state::Position, //
    },
    wire::{
        Frame, Message,
        codec::{
            self,
            Key, //
        },
    },
};

fn frame() -> Frame {
    let address = "127.0.0.1:9".parse().expect("an address");
    let id = |name: &str| Id {
        name: name.into(),
        incarnation: 7,
    };
    Frame {
        from: Host {
            id: id("entry-almaty-1"),
            data_centre: "almaty-a".into(),
            region: "almaty".into(),
            http: address,
            peer: address,
            weight: 1,
        },
        to: id("entry-astana-1"),
        message: Message::Replica(replica::Message::Fetch {
            from: Position {
                generation: 1,
                next: 12_345,
            },
        }),
    }
}

fn codec_frame(criterion: &mut Criterion) {
    let key = Key::new(&[5; 32]);
    let frame = frame();
    let bytes = codec::encode(&key, &frame).expect("the frame is small");
    criterion.bench_function("codec/encode", |bencher| {
        bencher.iter(|| codec::encode(&key, black_box(&frame)));
    });
    criterion.bench_function("codec/decode", |bencher| {
        bencher.iter(|| codec::decode(&key, black_box(&bytes)));
    });
}

criterion_group!(benches, codec_frame);
criterion_main!(benches);
