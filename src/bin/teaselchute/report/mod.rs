//! Pages and tables of benchmark results.

use std::path::Path;

use anyhow::Context;
use teaselchute::core::benchmark::{
    self,
    Day,
    Loss, //
};

mod chart;

/// Reads days that an adapter converted to JSON.
fn read(file: &Path) -> anyhow::Result<Vec<Day>> {
    let text = std::fs::read(file).with_context(|| format!("can't read {}", file.display()))?;
    serde_json::from_slice(&text)
        .with_context(|| format!("{} holds no translated days", file.display()))
}

/// Writes a page with a chart per site, which shows the worth of its scored days over time.
pub fn page(file: &Path, output: &Path) -> anyhow::Result<()> {
    let days = read(file)?;
    let scored: Vec<Day> = days.into_iter().filter(|day| day.is_scored).collect();
    let mut sites: Vec<_> = scored.iter().map(|day| day.site.clone()).collect();
    sites.sort();
    sites.dedup();
    let mut page =
        String::from("<!doctype html>\n<meta charset=\"utf-8\">\n<title>Rounds</title>\n");
    for site in &sites {
        let of_site: Vec<Day> = scored
            .iter()
            .filter(|day| day.site == *site)
            .cloned()
            .collect();
        page.push_str(&format!("<h1>{site}</h1>\n"));
        page.push_str(&chart::draw(&benchmark::by_day(&of_site))?);
        page.push_str(&table(&of_site));
    }
    std::fs::write(output, page).with_context(|| format!("can't write {}", output.display()))?;
    println!(
        "{}: {} days of {} sites",
        output.display(),
        scored.len(),
        sites.len()
    );
    Ok(())
}

/// Returns a table with the first and last worth of each day, and the losses of the last one.
fn table(days: &[Day]) -> String {
    let mut rows = String::from(
        "<table><tr><th>day<th>rounds<th>first<th>last<th>rules broken<th>what the last one lost\n",
    );
    for ((_, name), days) in benchmark::by_day(days) {
        let (Some(first), Some(last)) = (days.first(), days.last()) else {
            continue;
        };
        let broken: usize = days.iter().map(|day| day.broken.len()).sum();
        let Loss(lost) = Loss::mean(&[*last]);
        let lost: Vec<String> = lost
            .iter()
            .take(4)
            .map(|(name, worth)| format!("{worth:.3} {name}"))
            .collect();
        rows.push_str(&format!(
            "<tr><td>{name}<td>{}<td>{:.3}<td>{:.3}<td>{broken}<td>{}\n",
            days.len(),
            first.worth,
            last.worth,
            lost.join(", "),
        ));
    }
    rows.push_str("</table>\n");
    rows
}

/// Prints the mean losses of each day, and the results of each kind of request.
pub fn credit(file: &Path) -> anyhow::Result<()> {
    let days = read(file)?;
    for ((site, name), days) in benchmark::by_day(&days) {
        let worth: f64 = days.iter().map(|day| day.worth).sum();
        let count = days.len();
        println!(
            "{site} {name}: worth {:.3}, mean of {count}; lost:",
            worth / count as f64
        );
        print!("{}", Loss::mean(&days));
        for kind in days.last().into_iter().flat_map(|day| &day.kinds) {
            println!(
                "         {}: {} requests, {} late, {} refused, {} failed, {:.3} of the credit",
                kind.name, kind.requests, kind.late, kind.refused, kind.failed, kind.earned,
            );
        }
    }
    Ok(())
}
