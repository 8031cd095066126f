//! Problems of a document, each with its path and remedy.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Maximum number of known names that a remedy lists.
const MAX_LISTED_NAMES: usize = 8;

/// A reason for which a document isn't accepted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// Path in the document, such as `pools.engines.servers.engine-1.data_centre`.
    pub path: String,
    /// Description of the problem.
    pub found: String,
    /// Suggested correction.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.found, self.remedy)
    }
}

/// The problems found so far in a document.
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

    /// Adds the problem that nothing of kind `what` has this name, with the nearest known name as
    /// remedy.
    pub(super) fn add_unknown_name<'a>(
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
            None => format!(
                "write one of {}, or add {what} {name:?}",
                format_names(&known)
            ),
        };
        self.add(path, format!("no {what} is named {name:?}"), remedy);
    }

    /// Returns whether there are no problems.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns all problems, sorted by path.
    pub(super) fn into_sorted(mut self) -> Vec<Problem> {
        self.0.sort();
        self.0
    }
}

/// Formats names as a list for a remedy, shortened to [`MAX_LISTED_NAMES`].
pub(super) fn format_names(names: &[&str]) -> String {
    let quoted = names
        .iter()
        .take(MAX_LISTED_NAMES)
        .map(|name| format!("{name:?}"));
    let mut text = quoted.collect::<Vec<_>>().join(", ");
    if names.len() > MAX_LISTED_NAMES {
        text.push_str(", …");
    }
    text
}

/// Returns the known name with the smallest edit distance, if it is small enough for a typing
/// error.
pub(super) fn nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    let limit = name.chars().count() / 3 + 1;
    let distances = known.iter().map(|other| (distance(name, other), *other));
    let (min, nearest) = distances.min()?;
    (min <= limit).then_some(nearest)
}

/// Returns the Levenshtein distance of two names.
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
