//! Draws the time line as one self-contained SVG picture with a lane per process.

use std::fmt::Write;

use crate::events::Event;
use crate::ids::InstanceName;

const LANE_WIDTH: usize = 320;
const ROW_HEIGHT: usize = 18;
const MARGIN: usize = 40;

/// Draws events that are already in causal order, one a row.
pub fn draw_svg(events: &[Event]) -> String {
    let lanes = lanes(events);
    let width = MARGIN + lanes.len().max(1) * LANE_WIDTH;
    let height = 2 * MARGIN + events.len() * ROW_HEIGHT;
    let mut svg = String::new();
    // Writing to a String cannot fail.
    let _ = write!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" \
         fill=\"white\"/>\n"
    );
    for (index, lane) in lanes.iter().enumerate() {
        draw_lane(&mut svg, index, lane, height);
    }
    for (row, event) in events.iter().enumerate() {
        draw_event(&mut svg, row, event, &lanes);
    }
    svg.push_str("</svg>\n");
    svg
}

fn lanes(events: &[Event]) -> Vec<InstanceName> {
    let mut lanes: Vec<InstanceName> = events.iter().map(|event| event.instance.clone()).collect();
    lanes.sort();
    lanes.dedup();
    lanes
}

fn lane_x(index: usize) -> usize {
    MARGIN + index * LANE_WIDTH
}

fn draw_lane(svg: &mut String, index: usize, lane: &InstanceName, height: usize) {
    let x = lane_x(index);
    let _ = writeln!(svg, "<text x=\"{x}\" y=\"20\" font-weight=\"bold\">{lane}</text>");
    let _ =
        writeln!(svg, "<line x1=\"{x}\" y1=\"26\" x2=\"{x}\" y2=\"{height}\" stroke=\"#aaa\"/>");
}

fn draw_event(svg: &mut String, row: usize, event: &Event, lanes: &[InstanceName]) {
    let index = lanes.iter().position(|lane| *lane == event.instance).unwrap_or(0);
    let x = lane_x(index);
    let y = MARGIN + row * ROW_HEIGHT;
    let text = escape(&format!("{} {} {}", event.wall_ms, event.number, event.message));
    let _ = writeln!(svg, "<circle cx=\"{x}\" cy=\"{y}\" r=\"4\" fill=\"#36c\"/>");
    let _ = writeln!(svg, "<text x=\"{}\" y=\"{}\">{text}</text>", x + 8, y + 4);
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
