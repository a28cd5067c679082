//! Draws each measured series as an SVG file and writes the page that shows them.

use crate::series::Series;
use plotters::prelude::BLACK;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Circle;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::PointSeries;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;
use plotters::style::IntoFont;
use std::error::Error;
use std::path::Path;

const SIZE_PIXELS: (u32, u32) = (420, 260);
const LINE_COLOR: RGBColor = RGBColor(31, 98, 168);

/// Draws a series and its fitted line into an SVG file in `folder` that is named after
/// the series.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw(series: &Series, folder: &Path) -> Result<(), Box<dyn Error>> {
    let file = folder.join(format!("{}.svg", series.name));
    let root = SVGBackend::new(&file, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let max_x = series
        .points
        .iter()
        .map(|point| point.0)
        .fold(1.0, f64::max)
        * 1.05;
    let max_y = series
        .points
        .iter()
        .map(|point| point.1)
        .fold(0.0, f64::max)
        * 1.2;
    let title = format!("{}: {}", series.name, series.unit);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 14).into_font().color(&BLACK))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y.max(1e-9))?;
    chart
        .configure_mesh()
        .x_desc(series.size_of.clone())
        .x_labels(6)
        .y_labels(5)
        .draw()?;
    let (intercept, slope) = series.fit();
    let line = [(0.0, intercept), (max_x, intercept + slope * max_x)];
    chart.draw_series(LineSeries::new(line, LINE_COLOR.mix(0.35)))?;
    chart.draw_series(LineSeries::new(series.points.iter().copied(), &LINE_COLOR))?;
    chart.draw_series(PointSeries::of_element(
        series.points.iter().copied(),
        3,
        &LINE_COLOR,
        &|at, size, style| Circle::new(at, size, style.filled()),
    ))?;
    root.present()?;
    Ok(())
}

/// Returns the text of the page that shows all plots.
pub fn render_page(all: &[Series]) -> String {
    let mut text = String::from(
        "# Plots of the slopes\n\nDrawn by `cargo run --release -p goldcrestway-bench -- capacity`. Dark: \
         measured; light: the fitted line.\n\n",
    );
    for series in all {
        text.push_str(&format!("![{0}](plots/{0}.svg)\n", series.name));
    }
    text
}
