//! Tests of the decisions of the gateway.

mod balance;
mod batch;
mod budget;
mod cache;
mod config;
mod content;
mod dispatch;
mod holding;
mod hosts;
mod limits;
mod mac;
mod pause;
mod placement;
mod plan;
mod position;
mod quarantine;
mod quota;
mod rate;
mod recent;
mod retry;
mod rollout;
mod servers;
mod shutdown;
mod spillover;
mod stream;
mod window;

use teaselchute::{
    core::gateway::{
        batch::Piece,
        config::Stages,
        plan::Input,
        servers::Entry, //
    },
    names::Name,
    time::Instant,
};

pub fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

pub fn entry(id: &str, service: &str, data_centre: &str) -> Entry {
    let port = 1_000 + id.bytes().map(u16::from).sum::<u16>();
    Entry {
        id: id.into(),
        service: service.into(),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: data_centre.into(),
        slots: 64,
        leaving: false,
        cold_ms: 0,
        started_at: Some(1),
        sequence: None,
        version: None,
    }
}

/// A call takes 200 ms, and 10 ms for each of up to 10 pieces. A server has memory for about 100
/// results of 10 bytes.
pub const STAGES: Stages = Stages {
    slots: 1,
    max_pieces: 10,
    call_ms: 200.0,
    piece_ms: 10.0,
    memory_bytes: 1_087,
    retention_ms: 4_000,
};

pub fn piece(request: &str, now_ms: u64) -> Piece {
    Piece {
        request: request.into(),
        stage: 0,
        index: 0,
        input: Input::Key("key".into()),
        result_bytes: 10,
        input_bytes: 0,
        objective: at(now_ms + 1_000),
        deadline: at(now_ms + 6_000),
        priority: 0,
        remaining_ms: 100,
    }
}

pub fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|&name| name.into()).collect()
}
