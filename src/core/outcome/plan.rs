//! Execution plan of a request, fixed at admission.
//!
//! Configuration changes don't affect admitted requests: they keep the stages, the deadline and the
//! priority that applied when they arrived.

use super::{
    Subject,
    Submission, //
};
use crate::{
    core::document::{
        Binding,
        Document, //
    },
    names::Name,
};

/// One stage of a pipeline, or the only stage of a service request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Pool that runs the stage.
    pub pool: Name,
    /// Model that runs the stage, if one is set.
    pub model: Option<Name>,
}

/// Settings of the configuration document for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Name of the pipeline or service.
    pub name: Name,
    /// Stages in order of execution, never empty.
    pub stages: Vec<Stage>,
    /// Whether the stages may run more than once.
    pub idempotent: bool,
    /// Deadline of the whole answer, in milliseconds from admission.
    pub deadline_ms: u64,
    /// Whether the answer is still wanted after the deadline.
    pub late_answer_wanted: bool,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
}

/// Returns the plan of a request, or `None` if its subject isn't in the document.
pub fn plan(document: &Document, submission: &Submission) -> Option<Plan> {
    match &submission.subject {
        Subject::Pipeline(name) => pipeline(document, submission, name),
        Subject::Service(name) => service(document, submission, name),
    }
}

fn pipeline(document: &Document, submission: &Submission, name: &Name) -> Option<Plan> {
    let pipeline = document.pipelines.get(name)?;
    let organisation = document.organisations.get(&submission.request.organisation);
    let binding = organisation.and_then(|organisation| organisation.pipelines.get(name));
    let binding = binding.cloned().unwrap_or_else(Binding::default);
    let priority = binding.priority.unwrap_or(pipeline.priority);
    let deadline_ms = binding.deadline_ms.unwrap_or(pipeline.deadline_ms);
    let late = binding.late_answer_wanted;
    let stages: Vec<Stage> = pipeline
        .stages
        .iter()
        .map(|stage| Stage {
            pool: stage.pool.clone(),
            model: stage.model.clone(),
        })
        .collect();
    if stages.is_empty() {
        return None;
    }
    Some(Plan {
        name: name.clone(),
        stages,
        idempotent: true,
        deadline_ms: submission.deadline_ms.unwrap_or(deadline_ms),
        late_answer_wanted: late.unwrap_or(pipeline.late_answer_wanted),
        // A caller can only lower the urgency that its binding gives (0 is the most urgent).
        priority: submission.priority.unwrap_or(priority).max(priority),
    })
}

fn service(document: &Document, submission: &Submission, name: &Name) -> Option<Plan> {
    let service = document.services.get(name)?;
    Some(Plan {
        name: name.clone(),
        stages: vec![Stage {
            pool: service.pool.clone(),
            model: None,
        }],
        idempotent: service.idempotent,
        deadline_ms: submission.deadline_ms.unwrap_or(service.deadline_ms),
        late_answer_wanted: false,
        priority: submission.priority.unwrap_or(0),
    })
}
