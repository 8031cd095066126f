//! Implementation of the subcommands.

use std::path::{
    Path,
    PathBuf, //
};

use anyhow::{
    Context,
    bail, //
};
use ntex::http::Method;
use serde_json::{
    Value,
    json, //
};
use teaselchute::{
    core::{
        document::{
            self,
            Document, //
        },
        timeline::{
            Line,
            Timeline, //
        },
    },
    shell::clock, //
};

use crate::{
    args::{
        Action,
        Command, //
    },
    client::{
        Answer,
        Client, //
    },
    exit, report,
};

/// Runs a command and returns its exit code.
pub async fn run(command: Command) -> anyhow::Result<u8> {
    match &command.action {
        Action::Check(file) => return check(file, command.json),
        Action::Digest(file) => return digest(file),
        Action::Report(file, out) => return report::page(file, out).map(|()| 0),
        Action::Credit(file) => return report::credit(file).map(|()| 0),
        Action::Why(id, logs) if !logs.is_empty() => return print_timeline(id, logs),
        _ => {}
    }
    let client = Client::open(&command).await?;
    match &command.action {
        Action::Check(_) | Action::Digest(_) | Action::Report(..) | Action::Credit(_) => {
            unreachable!("handled above without a host")
        }
        Action::Try(environment, file) => try_document(&client, &command, environment, file).await,
        Action::Promote(from, to) => promote(&client, &command, from, to).await,
        Action::Diff(from, to) => diff(&client, &command, from, to).await,
        Action::Status => status(&client, &command).await,
        Action::Drain { target, out } => drain(&client, &command, target, *out).await,
        Action::Why(subject, _) => why(&client, &command, subject).await,
        Action::Hosts => table(&client, &command, "/v1/operator/hosts", HOST_FIELDS).await,
        Action::Servers => table(&client, &command, "/v1/operator/servers", SERVER_FIELDS).await,
    }
}

const HOST_FIELDS: &[&str] = &["host", "data_centre", "http", "health", "on_roster"];

const SERVER_FIELDS: &[&str] = &["pool", "server", "data_centre", "drained", "load", "models"];

const STATUS_FIELDS: &[&str] = &[
    "host",
    "data_centre",
    "serving",
    "leaving",
    "environments",
    "position",
    "news_age_ms",
    "drained",
];

fn read(file: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("can't read {}", file.display()))
}

/// Reads and checks a document. Prints its problems, if any.
fn read_document(file: &Path, as_json: bool) -> anyhow::Result<Option<Document>> {
    match document::check(&read(file)?) {
        Ok(document) => Ok(Some(document)),
        Err(problems) => {
            if as_json {
                println!("{}", json!({ "problems": problems }));
            } else {
                for problem in &problems {
                    println!("{}: {problem}", file.display());
                }
            }
            Ok(None)
        }
    }
}

fn check(file: &Path, as_json: bool) -> anyhow::Result<u8> {
    let Some(_) = read_document(file, as_json)? else {
        return Ok(exit::REFUSED);
    };
    if as_json {
        println!("{}", json!({ "problems": [] }));
    } else {
        println!("{}: the document is right", file.display());
    }
    Ok(0)
}

/// Prints the digest that settings and documents hold in place of a credential.
fn digest(file: &Path) -> anyhow::Result<u8> {
    println!("{}", blake3::hash(read(file)?.trim().as_bytes()));
    Ok(0)
}

/// Prints the timeline of a request from log files.
fn print_timeline(id: &str, files: &[PathBuf]) -> anyhow::Result<u8> {
    let mut lines = Vec::new();
    for file in files {
        // Log collectors may truncate lines, which can leave invalid UTF-8.
        let bytes = std::fs::read(file);
        let bytes = bytes.with_context(|| format!("can't read {}", file.display()))?;
        let text = String::from_utf8_lossy(&bytes);
        let source = file.file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(text.lines().filter_map(|line| Line::parse(&source, line)));
    }
    let Some(timeline) = Timeline::find(&lines, id) else {
        bail!("{} log lines, none about {id:?}", lines.len());
    };
    println!("{timeline}");
    Ok(0)
}

/// Returns the revision and document of an environment. A missing one has revision 0 and is empty.
async fn get_environment(client: &Client, name: &str) -> anyhow::Result<(u64, Value)> {
    let path = format!("/v1/operator/environments/{name}/document");
    let answer = client.ask(Method::GET, &path, None).await?;
    match answer.status {
        200 => {
            let revision = answer.body["revision"].as_u64();
            let revision = revision.context("the answer has no revision")?;
            Ok((revision, answer.body["document"].clone()))
        }
        404 => Ok((0, json!({}))),
        status => bail!("{name}: status {status}: {}", answer.body),
    }
}

fn change_id(command: &Command) -> String {
    match &command.id {
        Some(id) => id.clone(),
        None => format!("{:016x}", clock::draw_seed()),
    }
}

async fn send_change(
    client: &Client,
    command: &Command,
    environment: &str,
    body: &Value,
) -> anyhow::Result<u8> {
    let path = format!("/v1/operator/environments/{environment}/changes");
    let answer = client.ask(Method::POST, &path, Some(body)).await?;
    Ok(print_verdict(command, &answer))
}

/// Prints a verdict and returns its exit code.
fn print_verdict(command: &Command, answer: &Answer) -> u8 {
    let body = &answer.body;
    if command.json {
        println!("{body}");
    } else if let Some(verdict) = body["verdict"].as_str() {
        let id = text(&body["id"]);
        println!("{verdict}: change {id} {}", text(&body["reason"]));
    } else {
        println!("refused: {}", text(&body["refusal"]["detail"]));
        for problem in body["problems"].as_array().into_iter().flatten() {
            println!(
                "{}: {}; {}",
                text(&problem["path"]),
                text(&problem["found"]),
                text(&problem["remedy"])
            );
        }
    }
    match body["verdict"].as_str() {
        Some("accepted") => 0,
        Some("unknown") => exit::UNKNOWN,
        _ => exit::REFUSED,
    }
}

async fn try_document(
    client: &Client,
    command: &Command,
    name: &str,
    file: &Path,
) -> anyhow::Result<u8> {
    let Some(document) = read_document(file, command.json)? else {
        return Ok(exit::REFUSED);
    };
    let (revision, _) = get_environment(client, name).await?;
    let body = json!({
        "id": change_id(command),
        "based_on": revision,
        "document": document,
    });
    send_change(client, command, name, &body).await
}

async fn promote(client: &Client, command: &Command, from: &str, to: &str) -> anyhow::Result<u8> {
    let (tried, _) = get_environment(client, from).await?;
    let (revision, _) = get_environment(client, to).await?;
    let body = json!({
        "id": change_id(command),
        "based_on": revision,
        "promote": { "from": from, "tried": tried },
    });
    send_change(client, command, to, &body).await
}

async fn diff(client: &Client, command: &Command, from: &str, to: &str) -> anyhow::Result<u8> {
    let parse = |value: Value| serde_json::from_value::<Document>(value);
    let (_, old) = get_environment(client, from).await?;
    let new = if Path::new(to).is_file() {
        match read_document(Path::new(to), command.json)? {
            Some(document) => document,
            None => return Ok(exit::REFUSED),
        }
    } else {
        parse(get_environment(client, to).await?.1)?
    };
    let edits = document::diff(&parse(old)?, &new);
    if command.json {
        println!("{}", serde_json::to_string(&edits)?);
        return Ok(0);
    }
    if edits.is_empty() {
        println!("no difference");
    }
    for edit in &edits {
        println!("{}", serde_json::to_string(edit)?);
    }
    Ok(0)
}

/// Prints the configuration in force on each host, with an error for those that don't answer.
async fn status(client: &Client, command: &Command) -> anyhow::Result<u8> {
    let mut rows = Vec::new();
    for host in client.all_hosts().await? {
        let path = "/v1/operator/status";
        match client.ask_host(host, Method::GET, path, None).await {
            Ok(answer) => rows.push(answer.body),
            Err(error) => rows.push(json!({ "host": host, "error": error.to_string() })),
        }
    }
    print_rows(command, &Value::Array(rows), STATUS_FIELDS);
    Ok(0)
}

async fn drain(client: &Client, command: &Command, target: &str, out: bool) -> anyhow::Result<u8> {
    let id = change_id(command);
    let body = match target.split_once('/') {
        Some((pool, server)) => json!({ "id": id, "out": out, "pool": pool, "server": server }),
        None => json!({ "id": id, "out": out, "data_centre": target }),
    };
    let path = "/v1/operator/drains";
    let answer = client.ask(Method::POST, path, Some(&body)).await?;
    Ok(print_verdict(command, &answer))
}

/// Collects decisions from all hosts, since several may have handled the request.
async fn why(client: &Client, command: &Command, subject: &str) -> anyhow::Result<u8> {
    let path = format!("/v1/operator/why/{subject}");
    let mut found = Vec::new();
    for host in client.all_hosts().await? {
        let answer = client.ask_host(host, Method::GET, &path, None).await;
        let Ok(answer) = answer else { continue };
        let decisions = answer.body["decisions"].as_array().map_or(0, Vec::len);
        if decisions > 0 {
            found.push(answer.body);
        }
    }
    if command.json {
        println!("{}", Value::Array(found.clone()));
    }
    if found.is_empty() {
        eprintln!("teaselchute: no host keeps a decision about {subject}");
        return Ok(exit::FAILED);
    }
    if !command.json {
        found.iter().for_each(print_why);
    }
    Ok(0)
}

fn print_why(why: &Value) {
    println!("{}:", text(&why["host"]));
    for decision in why["decisions"].as_array().into_iter().flatten() {
        println!(
            "  {:>8} ms {} stage {}: {} by rule {} {}",
            decision["at"],
            text(&decision["kind"]),
            text(&decision["stage"]),
            text(&decision["choice"]),
            text(&decision["rule"]),
            values(&decision["values"]),
        );
        for candidate in decision["candidates"].as_array().into_iter().flatten() {
            let passed_over = candidate["passed_over"].as_str().unwrap_or("chosen");
            let (name, values) = (text(&candidate["name"]), values(&candidate["values"]));
            println!("              {name} {values} ({passed_over})");
        }
    }
}

fn values(values: &Value) -> String {
    let values = values.as_array().into_iter().flatten();
    let values = values.map(|value| format!("{}={}", text(&value["name"]), value["value"]));
    values.collect::<Vec<_>>().join(" ")
}

async fn table(
    client: &Client,
    command: &Command,
    path: &str,
    fields: &[&str],
) -> anyhow::Result<u8> {
    let answer = client.ask(Method::GET, path, None).await?;
    if answer.status != 200 {
        bail!("status {}: {}", answer.status, answer.body);
    }
    print_rows(command, &answer.body, fields);
    Ok(0)
}

/// Prints rows as JSON, or as a table of some of their fields.
fn print_rows(command: &Command, rows: &Value, fields: &[&str]) {
    if command.json {
        println!("{rows}");
        return;
    }
    println!("{}", fields.join("\t"));
    for row in rows.as_array().into_iter().flatten() {
        if let Some(error) = row["error"].as_str() {
            println!("{}\t{error}", text(&row["host"]));
            continue;
        }
        let cells = fields.iter().map(|field| text(&row[*field]));
        println!("{}", cells.collect::<Vec<_>>().join("\t"));
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
