//! Changes that publish a document or promote the document of an environment.

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

/// An error of a publication or promotion.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The environment to be promoted doesn't exist.
    #[error("no environment is named {0:?}")]
    Unknown(Name),
    /// The environment to be promoted is at another revision than the one that was tested.
    #[error("{environment:?} is at revision {is}, not {tried}: try it again")]
    RevisionChanged {
        /// The environment.
        environment: Name,
        /// Revision that was tested.
        tried: u64,
        /// Current revision.
        is: u64,
    },
    /// The change was sent before, and has this verdict.
    #[error("the change was sent before: {0:?}")]
    Duplicate(Verdict),
    /// The environment has a newer revision than the one on which the change is based.
    #[error("{environment:?} is at revision {is}, the change is based on {based_on}: look again")]
    Stale {
        /// The environment.
        environment: Name,
        /// Revision on which the change is based.
        based_on: u64,
        /// Current revision.
        is: u64,
    },
    /// This host hasn't reached the revision on which the change is based.
    #[error("this host is at revision {is} of {environment:?}, not yet at {based_on}: ask again")]
    Behind {
        /// The environment.
        environment: Name,
        /// Revision on which the change is based.
        based_on: u64,
        /// Current revision on this host.
        is: u64,
    },
    /// The document has problems.
    #[error("the document has {} problems", .0.len())]
    Problems(Vec<Problem>),
}

impl State {
    /// Creates the change that publishes a checked document in an environment.
    ///
    /// `based_on` is the revision that the operator saw. The edits are relative to that revision,
    /// so this host has to be at it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Duplicate`] if the id already has a verdict, [`Error::Stale`] if the
    /// environment has a newer revision, and [`Error::Behind`] if this host is behind that
    /// revision, so that the change should be sent to another host or again later.
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
        let revision = self.revision(&environment);
        match based_on.cmp(&revision) {
            Ordering::Equal => (),
            Ordering::Less => {
                return Err(Error::Stale {
                    environment,
                    based_on,
                    is: revision,
                });
            }
            Ordering::Greater => {
                return Err(Error::Behind {
                    environment,
                    based_on,
                    is: revision,
                });
            }
        }
        let empty = Document::default();
        let old = match self.environments.get(&environment) {
            Some(Environment { document, .. }) => document,
            None => &empty,
        };
        Ok(Change {
            id,
            edits: diff(old, document),
            environment,
            based_on,
        })
    }

    /// Creates the change that publishes the document of one environment in another, such as from
    /// the trial environment to production.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if `from` doesn't exist, [`Error::RevisionChanged`] if it isn't
    /// at the revision `tried` any more, [`Error::Problems`] if its document has problems, and the
    /// errors of [`State::publication`].
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
