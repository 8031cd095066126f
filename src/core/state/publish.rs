//! Changes as operators make them: publishing a document and promoting an environment.

use std::cmp::Ordering;

use super::{
    Change,
    Environment,
    State,
    Verdict, //
};
use crate::{
    core::document::{
        Document,
        Problem,
        diff, //
    },
    names::Name,
};

/// Why a document can't be published or an environment not be promoted.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The environment to be promoted isn't there.
    #[error("no environment is named {0:?}")]
    Unknown(Name),
    /// The environment to be promoted is at another revision than the one that was tried.
    #[error("{environment:?} is at revision {is}, not {tried}: try it again")]
    RevisionChanged {
        /// The environment.
        environment: Name,
        /// Revision that was tried.
        tried: u64,
        /// Revision at which it is.
        is: u64,
    },
    /// The id has its verdict already: the change was sent before.
    #[error("the change was sent before: {0:?}")]
    Duplicate(Verdict),
    /// The environment has gone on since the operator looked at it.
    #[error("{environment:?} is at revision {is}, the change is based on {based_on}: look again")]
    Stale {
        /// The environment.
        environment: Name,
        /// Revision on which the change is based.
        based_on: u64,
        /// Revision at which it is.
        is: u64,
    },
    /// This host hasn't reached the revision on which the change is based.
    #[error("this host is at revision {is} of {environment:?}, not yet at {based_on}: ask again")]
    Behind {
        /// The environment.
        environment: Name,
        /// Revision on which the change is based.
        based_on: u64,
        /// Revision at which it is here.
        is: u64,
    },
    /// The document has problems.
    #[error("the document has {} problems", .0.len())]
    Problems(Vec<Problem>),
}

impl State {
    /// Makes the change that puts a document, checked before, into an environment.
    ///
    /// `based_on` is the revision that the operator saw. The edits are those from that revision, so
    /// this host has to be at it.
    ///
    /// # Errors
    ///
    /// [`Error::Known`] where the id has its verdict already, [`Error::Stale`] where the change is
    /// too late and [`Error::Behind`] where another host, or this one a little later, can take it.
    pub fn publication(
        &self,
        id: Name,
        environment: Name,
        based_on: u64,
        document: &Document,
    ) -> Result<Change, Error> {
        if let Some(verdict) = self.verdicts.get(&id) {
            return Err(Error::Duplicate(verdict.clone()));
        }
        let is = self.revision(&environment);
        match based_on.cmp(&is) {
            Ordering::Equal => (),
            Ordering::Less => {
                return Err(Error::Stale {
                    environment,
                    based_on,
                    is,
                });
            }
            Ordering::Greater => {
                return Err(Error::Behind {
                    environment,
                    based_on,
                    is,
                });
            }
        }
        let none = Document::default();
        let old = match self.environments.get(&environment) {
            Some(Environment { document, .. }) => document,
            None => &none,
        };
        Ok(Change {
            id,
            edits: diff(old, document),
            environment,
            based_on,
        })
    }

    /// Makes the change that puts the document of one environment into another, such as from the
    /// trial environment into production.
    ///
    /// # Errors
    ///
    /// [`Error::Moved`] where `from` isn't at the revision `tried` any more, and as for
    /// [`State::publication`].
    pub fn promotion(
        &self,
        id: Name,
        from: &Name,
        tried: u64,
        to: Name,
        based_on: u64,
    ) -> Result<Change, Error> {
        let Some(source) = self.environments.get(from) else {
            return Err(Error::Unknown(from.clone()));
        };
        if source.revision != tried {
            return Err(Error::RevisionChanged {
                environment: from.clone(),
                tried,
                is: source.revision,
            });
        }
        let problems = source.document.problems();
        if !problems.is_empty() {
            return Err(Error::Problems(problems));
        }
        self.publication(id, to, based_on, &source.document)
    }
}
