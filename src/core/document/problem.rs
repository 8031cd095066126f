//! Problems of a document, each with its place and with what to write instead.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Most known names that a remedy lists.
const LIST_LIMIT: usize = 8;

/// Something that keeps a document from being accepted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// Where it is, such as `pools.engines.servers.engine-1.data_centre`.
    pub path: String,
    /// What is wrong.
    pub found: String,
    /// What to write instead.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.found, self.remedy)
    }
}

/// Collects problems while a document is walked through.
#[derive(Default)]
pub(super) struct Problems(Vec<Problem>);

impl Problems {
    /// Adds a problem.
    pub(super) fn add(
        &mut self,
        path: impl Into<String>,
        found: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.0.push(Problem {
            path: path.into(),
            found: found.into(),
            remedy: remedy.into(),
        });
    }

    /// Adds the problem that a name stands for nothing, with the nearest of the known ones.
    pub(super) fn add_dangling<'a>(
        &mut self,
        path: impl Into<String>,
        what: &str,
        name: &str,
        known: impl Iterator<Item = &'a str>,
    ) {
        let known: Vec<&str> = known.collect();
        let remedy = match nearest(name, &known) {
            Some(nearest) => format!("write {nearest:?}, or add {what} {name:?}"),
            None if known.is_empty() => format!("add {what} {name:?}: there is none yet"),
            None => format!("write one of {}, or add {what} {name:?}", list(&known)),
        };
        self.add(path, format!("no {what} is named {name:?}"), remedy);
    }

    /// Returns whether there is none.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns all problems, sorted by their place.
    pub(super) fn into_sorted(mut self) -> Vec<Problem> {
        self.0.sort();
        self.0
    }
}

/// Lists names for a remedy.
pub(super) fn list(names: &[&str]) -> String {
    let quoted = names
        .iter()
        .take(LIST_LIMIT)
        .map(|name| format!("{name:?}"));
    let mut text = quoted.collect::<Vec<_>>().join(", ");
    if names.len() > LIST_LIMIT {
        text.push_str(", …");
    }
    text
}

/// Returns the name that was probably meant, where one is near enough.
pub(super) fn nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    let limit = name.chars().count() / 3 + 1;
    let distances = known.iter().map(|other| (distance(name, other), *other));
    let (least, nearest) = distances.min()?;
    (least <= limit).then_some(nearest)
}

/// Returns how many letters have to change for one name to become the other.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, a) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
