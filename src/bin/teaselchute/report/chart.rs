//! Charts in SVG.

use std::collections::BTreeMap;

use plotters::prelude::*;
use teaselchute::{
    core::benchmark::Day,
    names::Name, //
};

/// Width and height of a chart, in pixels.
const SIZE_PX: (u32, u32) = (960, 420);

/// Width of the legend at the right, in pixels.
const LEGEND_PX: i32 = 170;

/// Draws the worth of days over successive runs, with a line per day.
pub fn draw(days: &BTreeMap<(Name, Name), Vec<&Day>>) -> anyhow::Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let rounds = days.values().map(Vec::len).max().unwrap_or(1);
        let worth = days.values().flatten().map(|day| day.worth);
        let lowest = worth.clone().fold(0.0, f64::min);
        let highest = worth.fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .margin_right(LEGEND_PX)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(1.0..(rounds as f64).max(2.0), lowest..highest)?;
        chart
            .configure_mesh()
            .x_desc("round")
            .y_desc("worth")
            .x_label_formatter(&|round| format!("{round:.0}"))
            .draw()?;
        for (index, ((_, name), days)) in days.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let points = days
                .iter()
                .enumerate()
                .map(|(round, day)| ((round + 1) as f64, day.worth));
            chart.draw_series(LineSeries::new(points.clone(), color.stroke_width(2)))?;
            chart.draw_series(points.map(|point| Circle::new(point, 3, color.filled())))?;
            let y = 20 + 18 * index as i32;
            let x = SIZE_PX.0 as i32 - LEGEND_PX + 10;
            area.draw(&Circle::new((x, y), 4, color.filled()))?;
            let text = ("sans-serif", 13).into_font();
            area.draw(&Text::new(name.to_string(), (x + 10, y - 6), text))?;
        }
        area.present()?;
    }
    Ok(svg)
}
