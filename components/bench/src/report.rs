//! Command `report`: the saved results as an HTML page with plots.

use crate::results::{Results, Row, Series};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Width of a plot, in pixels.
const PLOT_WIDTH: u32 = 900;
/// Height of a plot, in pixels.
const PLOT_HEIGHT: u32 = 340;
/// Path of the page.
const PAGE_PATH: &str = "target/bench/report.html";

/// Writes the page; returns whether there were results and the page could be written.
pub fn run() -> bool {
    let found: Vec<(&str, Results)> = ["requests", "work", "policy"]
        .into_iter()
        .filter_map(|name| Some((name, Results::read(name)?)))
        .collect();
    if found.is_empty() {
        eprintln!("no results yet; run 'bench requests' or 'bench work' first");
        return false;
    }
    let mut page = String::from(
        "<!doctype html><meta charset=utf-8><title>parsleythread: measurements</title>\
         <style>body{font-family:sans-serif;margin:2em}td{padding:.2em .8em}.missed{color:#b00}</style>\
         <h1>Measurements</h1>",
    );
    for (name, results) in &found {
        let _ = write!(page, "<h2>{name}</h2>");
        page.push_str(&table(&results.rows));
        for (plot, series) in by_plot(&results.series) {
            page.push_str(
                &draw(plot, &series).unwrap_or_else(|| format!("<p>{plot}: no points</p>")),
            );
        }
    }
    match std::fs::write(PAGE_PATH, page) {
        Ok(()) => {
            println!("{PAGE_PATH}");
            true
        }
        Err(error) => {
            eprintln!("can't write {PAGE_PATH}: {error}");
            false
        }
    }
}

/// Groups the lines by plot.
fn by_plot(series: &[Series]) -> BTreeMap<&str, Vec<&Series>> {
    let mut plots: BTreeMap<&str, Vec<&Series>> = BTreeMap::new();
    for line in series {
        plots.entry(&line.plot).or_default().push(line);
    }
    plots
}

/// The figures as an HTML table; missed bounds have the class `missed`.
fn table(rows: &[Row]) -> String {
    let mut text = String::from("<table><tr><th>case<th>subject<th>figure<th>value<th>bound</tr>");
    for row in rows {
        let class = if row.holds() { "" } else { " class=missed" };
        let _ = write!(
            text,
            "<tr{class}><td>{}<td>{}<td>{}<td>{:.3}<td>{}</tr>",
            row.case,
            row.subject,
            row.figure,
            row.value,
            row.bound_text()
        );
    }
    text.push_str("</table>");
    text
}

/// Draws a plot as SVG; `None` if it has no points or can't be drawn.
fn draw(plot: &str, series: &[&Series]) -> Option<String> {
    let points = || series.iter().flat_map(|line| line.points.iter().copied());
    let (max_x, max_y) = points().fold((0.0_f64, 0.0_f64), |max, point| {
        (max.0.max(point.0), max.1.max(point.1))
    });
    points().next()?;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (PLOT_WIDTH, PLOT_HEIGHT)).into_drawing_area();
        area.fill(&WHITE).ok()?;
        let mut chart = ChartBuilder::on(&area)
            .caption(plot, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..max_x.max(1.0), 0.0..max_y.max(1.0) * 1.05)
            .ok()?;
        chart.configure_mesh().draw().ok()?;
        for (index, line) in series.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let drawn = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
            chart
                .draw_series(drawn)
                .ok()?
                .label(line.name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .draw()
            .ok()?;
        area.present().ok()?;
    }
    Some(svg)
}
