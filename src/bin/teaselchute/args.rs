//! Subcommands and their options.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use getopts::Options as Parser;

/// Environment variable with the default of `--host`, separated by commas.
const HOSTS_VARIABLE: &str = "TEASELCHUTE_HOSTS";

/// Environment variable with the default of `--credential-file`.
const CREDENTIAL_VARIABLE: &str = "TEASELCHUTE_CREDENTIAL_FILE";

/// Default path of the page that `report` writes.
const DEFAULT_PAGE: &str = "rounds.html";

const BRIEF: &str = "\
Usage: teaselchute SUBCOMMAND [OPTIONS] [ARGUMENTS]

  check FILE                check a document without asking any host
  try ENV FILE              put a document into an environment, such as trial
  promote FROM TO           put the document of one environment into another
  diff FROM TO|FILE         show the parts in which two documents differ
  status                    show which host has which configuration in force
  drain TARGET              take a data centre, or a server as POOL/SERVER, out
  undrain TARGET            bring it back
  why ORGANISATION/ID       show each decision about a request and its reason
  why ID --log FILE         show a request's timeline from the log lines of all hosts
  hosts                     show the entry hosts
  servers                   show the backend servers
  report FILE               draw measured days over time as a page, see --out
  credit FILE               show what measured days lost, and to what
  digest FILE               print the digest of the credential in a file

`teaselchute SUBCOMMAND --help` shows the options of a subcommand.

Exit codes: 0 done, 1 nothing could be learned, 2 the command line is wrong,
3 the document has problems or the change was refused, 4 sent, verdict not known
yet: run it again with the same --id.";

/// Action of a subcommand.
#[derive(Clone, Debug)]
pub enum Action {
    /// Check a document.
    Check(PathBuf),
    /// Apply a document to an environment.
    Try(String, PathBuf),
    /// Apply the document of one environment to another.
    Promote(String, String),
    /// Compare an environment with another, or with a file.
    Diff(String, String),
    /// Show configurations in force.
    Status,
    /// Drain a data centre or a server, or end its drain.
    Drain {
        /// Name of a data centre, or `POOL/SERVER`.
        target: String,
        /// Whether to start the drain.
        out: bool,
    },
    /// Show decisions about a request, from the hosts or from log files.
    Why(String, Vec<PathBuf>),
    /// Show entry hosts.
    Hosts,
    /// Show backend servers.
    Servers,
    /// Write a page with charts of benchmark days.
    Report(PathBuf, PathBuf),
    /// Show the losses of benchmark days.
    Credit(PathBuf),
    /// Print the digest of a credential.
    Digest(PathBuf),
}

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct Command {
    /// Action to perform.
    pub action: Action,
    /// Addresses of the hosts, in the order in which they are tried.
    pub hosts: Vec<SocketAddr>,
    /// File with the operators' credential.
    pub credential_file: Option<PathBuf>,
    /// Id of the change. If missing, a random one is generated.
    pub id: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
}

/// Result of parsing a command line.
pub enum Parsed {
    /// A command to run.
    Command(Command),
    /// Help or version.
    Text(String),
}

fn parser() -> Parser {
    let mut parser = Parser::new();
    parser.optmulti(
        "",
        "host",
        "ask this host, may be repeated (else $TEASELCHUTE_HOSTS, separated by commas)",
        "ADDRESS",
    );
    parser.optopt(
        "",
        "credential-file",
        "file with the operators' credential (else $TEASELCHUTE_CREDENTIAL_FILE)",
        "FILE",
    );
    parser.optopt(
        "",
        "id",
        "id of the change, the same to learn the verdict of one sent before",
        "ID",
    );
    parser.optmulti(
        "",
        "log",
        "file with log lines of one host or several, may be repeated",
        "FILE",
    );
    parser.optopt("", "out", "page to write (else rounds.html)", "FILE");
    parser.optflag("", "json", "print JSON");
    parser.optflag("h", "help", "print this help");
    parser
}

/// Parses a command line without the program's name.
pub fn parse(args: &[String]) -> Result<Parsed, String> {
    let parser = parser();
    let Some(name) = args.first() else {
        return Err(format!("a subcommand is needed\n\n{BRIEF}"));
    };
    match name.as_str() {
        "--help" | "-h" | "help" => return Ok(Parsed::Text(BRIEF.to_string())),
        "--version" | "-V" => {
            let version = format!("teaselchute {}", env!("CARGO_PKG_VERSION"));
            return Ok(Parsed::Text(version));
        }
        _ => {}
    }
    let usage = || parser.usage(&format!("Usage: teaselchute {}", synopsis(name)));
    let matches = parser
        .parse(&args[1..])
        .map_err(|error| format!("{error}\n\n{}", usage()))?;
    if matches.opt_present("help") {
        return Ok(Parsed::Text(usage()));
    }
    let out = matches.opt_str("out");
    let out = out.map_or_else(|| DEFAULT_PAGE.into(), PathBuf::from);
    let logs = matches.opt_strs("log").into_iter().map(PathBuf::from);
    let action = action(name, &matches.free, logs.collect(), out)
        .ok_or_else(|| usage_error(name, &usage()))?;
    let mut hosts = matches.opt_strs("host");
    if hosts.is_empty() {
        let listed = std::env::var(HOSTS_VARIABLE).unwrap_or_default();
        hosts.extend(
            listed
                .split(',')
                .filter(|host| !host.is_empty())
                .map(String::from),
        );
    }
    let hosts = hosts.iter().map(|host| {
        let address = host.parse::<SocketAddr>();
        address.map_err(|_| format!("host {host:?} is not an IP number with a port"))
    });
    let credential_file = matches.opt_str("credential-file").map(PathBuf::from);
    Ok(Parsed::Command(Command {
        action,
        hosts: hosts.collect::<Result<_, _>>()?,
        credential_file: credential_file
            .or_else(|| std::env::var_os(CREDENTIAL_VARIABLE).map(PathBuf::from)),
        id: matches.opt_str("id"),
        json: matches.opt_present("json"),
    }))
}

fn usage_error(name: &str, usage: &str) -> String {
    if synopsis(name) == "SUBCOMMAND" {
        return format!("no subcommand {name:?}\n\n{BRIEF}");
    }
    format!("wrong arguments\n\n{usage}")
}

fn synopsis(name: &str) -> &'static str {
    match name {
        "check" => "check FILE",
        "try" => "try ENV FILE",
        "promote" => "promote FROM TO",
        "diff" => "diff FROM TO|FILE",
        "status" => "status",
        "drain" => "drain DATA_CENTRE|POOL/SERVER",
        "undrain" => "undrain DATA_CENTRE|POOL/SERVER",
        "why" => "why ORGANISATION/ID, why ID --log FILE",
        "hosts" => "hosts",
        "servers" => "servers",
        "report" => "report FILE",
        "credit" => "credit FILE",
        "digest" => "digest FILE",
        _ => "SUBCOMMAND",
    }
}

fn action(name: &str, free: &[String], logs: Vec<PathBuf>, out: PathBuf) -> Option<Action> {
    let action = match (name, free) {
        ("check", [file]) => Action::Check(file.into()),
        ("try", [environment, file]) => Action::Try(environment.clone(), file.into()),
        ("promote", [from, to]) => Action::Promote(from.clone(), to.clone()),
        ("diff", [from, to]) => Action::Diff(from.clone(), to.clone()),
        ("status", []) => Action::Status,
        ("drain" | "undrain", [target]) => Action::Drain {
            target: target.clone(),
            out: name == "drain",
        },
        ("why", [subject]) => Action::Why(subject.clone(), logs),
        ("hosts", []) => Action::Hosts,
        ("servers", []) => Action::Servers,
        ("report", [file]) => Action::Report(file.into(), out),
        ("credit", [file]) => Action::Credit(file.into()),
        ("digest", [file]) => Action::Digest(file.into()),
        _ => return None,
    };
    Some(action)
}
