//! Changes of environments, made from what operators want.

use ntex::web::HttpResponse;
use serde::Deserialize;
use serde_json::{
    json,
    value::RawValue, //
};

use super::{
    answer,
    bad,
    verdict_response, //
};
use crate::{
    core::{
        document::{
            self,
            Edit, //
        },
        refusal::{
            Code,
            Refusal,
            Remedy, //
        },
        replica::Answer,
        state::{
            Change,
            State,
            publish, //
        },
    },
    names::Name,
    shell::Shell,
};

/// A change of an environment: the whole document that is wanted, single edits, or another
/// environment's document.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Wanted {
    pub(super) id: Name,
    based_on: u64,
    #[serde(default)]
    document: Option<Box<RawValue>>,
    #[serde(default)]
    edits: Option<Vec<Edit>>,
    #[serde(default)]
    promote: Option<Promote>,
}

/// The environment whose document is wanted, at the revision that was tried.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Promote {
    from: Name,
    tried: u64,
}

/// Makes the change that is wanted, or tells why none can be made.
pub(super) fn make(
    shell: &Shell,
    environment: Name,
    wanted: Wanted,
) -> Result<Change, HttpResponse> {
    let (id, based_on) = (wanted.id, wanted.based_on);
    let made = match (wanted.document, wanted.edits, wanted.promote) {
        (Some(text), None, None) => {
            let document = document::check(text.get()).map_err(problems)?;
            with_state(shell, |state| {
                state.publication(id.clone(), environment, based_on, &document)
            })
        }
        (None, Some(edits), None) => with_state(shell, |state| {
            let known = state.environments.get(&environment);
            let mut document = known
                .map(|known| (*known.document).clone())
                .unwrap_or_default();
            edits.iter().for_each(|edit| document.apply(edit));
            let found = document.problems();
            if !found.is_empty() {
                return Err(publish::Error::Problems(found));
            }
            state.publication(id.clone(), environment, based_on, &document)
        }),
        (None, None, Some(promote)) => with_state(shell, |state| {
            let Promote { from, tried } = promote;
            state.promotion(id.clone(), &from, tried, environment, based_on)
        }),
        _ => return Err(bad("one of document, edits and promote is needed")),
    };
    made.map_err(|error| unpublished(&id, error))
}

fn with_state<T>(shell: &Shell, read: impl FnOnce(&State) -> T) -> T {
    shell
        .node
        .with_control(|control| read(control.replica().state()))
}

/// Tells why no change could be made, or what became of it before.
fn unpublished(id: &Name, error: publish::Error) -> HttpResponse {
    match error {
        publish::Error::Duplicate(verdict) => verdict_response(id, &Answer::Verdict(verdict)),
        publish::Error::Problems(found) => problems(found),
        error @ publish::Error::Behind { .. } => {
            // An earlier attempt under the same id may still land.
            let detail = error.to_string();
            let refusal = Refusal::may_have_run(Code::StaleNews, Remedy::AnotherHost, detail);
            answer::refuse(None, &refusal)
        }
        error => {
            let reason = error.to_string();
            HttpResponse::Conflict().json(&json!({ "id": id, "verdict": "void", "reason": reason }))
        }
    }
}

fn problems(found: Vec<document::Problem>) -> HttpResponse {
    let detail = format!("the document has {} problems", found.len());
    let refusal = Refusal::not_run(Code::BadRequest, Remedy::ChangeRequest, detail);
    HttpResponse::BadRequest().json(&json!({ "refusal": refusal, "problems": found }))
}
