//! What the demo prints, and whether all held.

use std::collections::BTreeMap;

use ntex::http::Method;
use serde_json::{
    Value,
    json, //
};

use crate::{
    load::{
        ORDERS,
        REQUESTS,
        Results, //
    },
    stand_ins::{
        caller::Outcome,
        cluster::{
            Cluster,
            operate, //
        }, //
    },
};

/// The figures of the last line.
pub struct Report {
    whole_answers: usize,
    crossed: usize,
    lost: usize,
    orders_answered: usize,
    orders_not_run: usize,
    orders_doubled: usize,
    orders_lost: usize,
    false_not_run: usize,
    new_work_in_drained_dc: u64,
    calls_after_return: u64,
    interrupted: usize,
}

impl Report {
    /// Compares what callers were told with what ran.
    pub fn new(
        results: &Results,
        ran: &BTreeMap<String, u64>,
        new_work_in_drained_dc: u64,
        calls_after_return: u64,
        interrupted: usize,
    ) -> Self {
        let mut report = Self {
            whole_answers: results.whole.len(),
            crossed: results.crossed,
            lost: results.unanswered.len(),
            orders_answered: 0,
            orders_not_run: 0,
            orders_doubled: ran.values().filter(|count| **count > 1).count(),
            orders_lost: 0,
            false_not_run: 0,
            new_work_in_drained_dc,
            calls_after_return,
            interrupted,
        };
        for (id, outcome) in &results.unanswered {
            eprintln!("{id}: {outcome:?}");
        }
        for order in &results.orders {
            let has_run = ran.contains_key(&order.id);
            match &order.outcome {
                Outcome::Answer(_) if has_run => report.orders_answered += 1,
                Outcome::NotRun(_) if has_run => report.false_not_run += 1,
                Outcome::NotRun(_) => report.orders_not_run += 1,
                outcome => {
                    eprintln!("{}: {outcome:?}, ran {has_run}", order.id);
                    report.orders_lost += 1;
                }
            }
        }
        report
    }

    /// Returns whether all that must hold held.
    pub fn holds(&self) -> bool {
        self.whole_answers == REQUESTS
            && self.orders_answered == ORDERS
            && self.crossed == 0
            && self.lost == 0
            && self.orders_doubled == 0
            && self.orders_lost == 0
            && self.false_not_run == 0
            && self.new_work_in_drained_dc == 0
            && self.calls_after_return > 0
            && self.interrupted == 0
    }

    /// Prints the figures as one JSON line.
    pub fn print(&self) {
        let line = json!({
            "case": "demo",
            "variant": "teaselchute",
            "requests": REQUESTS,
            "whole_answers": self.whole_answers,
            "orders": ORDERS,
            "orders_answered": self.orders_answered,
            "orders_not_run": self.orders_not_run,
            "orders_doubled": self.orders_doubled,
            "orders_lost": self.orders_lost,
            "false_not_run": self.false_not_run,
            "crossed": self.crossed,
            "lost": self.lost,
            "new_work_in_drained_dc": self.new_work_in_drained_dc,
            "calls_after_return": self.calls_after_return,
            "interrupted": self.interrupted,
        });
        println!("{line}");
    }
}

/// Prints for a person why one request was decided as it was.
pub async fn print_why(cluster: &Cluster, results: &Results) {
    // The newest requests went to hosts that still run.
    for id in results.whole.iter().rev() {
        for host in cluster.addresses() {
            let path = format!("/v1/operator/why/sorters/{id}");
            let why = operate(Method::GET, host, &path, None).await;
            let decisions = why["decisions"].as_array();
            if let Some(decisions) = decisions.filter(|decisions| !decisions.is_empty()) {
                println!("Why {id}, as {} decided it:", text(&why["host"]));
                decisions.iter().for_each(print_decision);
                return;
            }
        }
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn values(values: &Value) -> String {
    let values = values.as_array().into_iter().flatten();
    let values = values.map(|value| format!("{}={}", text(&value["name"]), value["value"]));
    values.collect::<Vec<_>>().join(" ")
}

fn print_decision(decision: &Value) {
    println!(
        "  {:>6} ms  {} of stage {}: {} by rule {} {}",
        decision["at"],
        text(&decision["kind"]),
        text(&decision["stage"]),
        text(&decision["choice"]),
        text(&decision["rule"]),
        values(&decision["values"]),
    );
    for candidate in decision["candidates"].as_array().into_iter().flatten() {
        let passed_over = candidate["passed_over"].as_str().unwrap_or("chosen");
        println!(
            "             {} {} ({passed_over})",
            text(&candidate["name"]),
            values(&candidate["values"]),
        );
    }
}
