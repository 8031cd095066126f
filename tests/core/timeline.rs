use teaselchute::core::timeline::{
    Line,
    Timeline, //
};

/// Log lines of three hosts. Host `a` got a request whose second stage missed its deadline at owner
/// `b`.
const LOG: &str = r#"
0.10 a {"message":"configuration","level":"INFO","at":1000,"version":7,"before":6}
0.20 a {"message":"stage","level":"INFO","at":3600,"ms":900,"outcome":"done","owner":"a","service":"ledger","pieces":2,"request":"r1"}
0.30 b {"message":"batch","level":"INFO","at":4000,"service":"board","server":"i-1","pieces":8,"waiting":60,"outcome":"done","ms":330}
0.30 c {"message":"batch","level":"INFO","at":4000,"service":"board","server":"i-9","pieces":8,"waiting":0,"outcome":"done","ms":330}
0.40 a {"message":"placed","level":"INFO","at":4100,"server":"i-5","request":"r2"}
0.50 a {"message":"stage","level":"INFO","at":5300,"ms":1700,"outcome":"Late","owner":"b","service":"board","pieces":4,"request":"r1"}
0.60 a {"message":"refused","level":"INFO","at":5301,"ms":2601,"version":7,"reason":"stage 1: can't be in time","status":503,"request":"r1"}
0.70 b {"message":"paused","level":"WARN","at":9000,"ms":1200}
a line of another program {
"#;

fn lines(text: &str) -> Vec<Line> {
    let lines = text.lines().filter_map(|line| Line::parse("file", line));
    lines.collect()
}

#[test]
fn find_refused_request() {
    let timeline = Timeline::find(&lines(LOG), "r1").expect("the log has lines of the request");
    insta::assert_snapshot!(timeline.to_string(), @r#"
       -1.700 s  a configuration before=6 version=7
       +0.900 s  a stage ms=900 outcome=done owner=a pieces=2 service=ledger
       +1.300 s  b batch ms=330 outcome=done pieces=8 server=i-1 service=board waiting=60
       +2.600 s  a stage ms=1700 outcome=Late owner=b pieces=4 service=board
       +2.601 s  a refused ms=2601 reason="stage 1: can't be in time" status=503 version=7
    ended by the host with 503 after 2601 ms, has not run: stage 1: can't be in time
    "#);
}

#[test]
fn find_unknown_request() {
    assert_eq!(Timeline::find(&lines(LOG), "r9"), None);
}

#[test]
fn find_unfinished_request() {
    let timeline = Timeline::find(&lines(LOG), "r2").expect("the log has a line of the request");
    assert_eq!(timeline.end, None);
    assert!(
        timeline
            .to_string()
            .ends_with("the line with its end is missing")
    );
}

#[test]
fn parse_host_from_prefix_or_file() {
    let object = r#"{"message":"paused","at":5,"ms":3}"#;
    let host = |text: &str| Line::parse("file", text).map(|line| line.host.to_string());
    assert_eq!(host(object).as_deref(), Some("file"));
    assert_eq!(
        host(&format!("1.5 edge-1 {object}")).as_deref(),
        Some("edge-1")
    );
    assert_eq!(
        host("edge-1 {\"message\":\"paused\"}"),
        None,
        "the line has no time"
    );
}
