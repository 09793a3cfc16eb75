//! Measures the time to choose an upstream among several numbers of them.
//!
//! `cargo run --release -p mothplank-gateway --example place_cost`

use std::hint::black_box;
use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gateway::Upstream;
use gateway::dialect::PromptPart;
use gateway::place::{Load, Placement, place};

const SIZES: [usize; 3] = [20, 100, 600];

/// The number of choices for each number of upstreams.
const CHOICES: u64 = 20_000;

fn upstream(number: usize) -> Arc<Upstream> {
    let listed = registry::Upstream {
        id: format!("i-{number:010x}"),
        service: "engine".to_owned(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 8_000).into(),
        domain: format!("domain-{}", number % 4),
        slots: 64,
        health: registry::Health::Ready,
        version: "v1".into(),
    };
    Arc::new(Upstream::new(&listed, 4))
}

fn main() {
    for size in SIZES {
        let all: Vec<Arc<Upstream>> = (0..size).map(upstream).collect();
        let load = |it: &Upstream| Load {
            running: f64::from(it.total_running()),
            tokens: it.tokens() as f64,
        };
        let weight = |it: &Upstream| if it.domain.ends_with('0') { 0.5 } else { 1.0 };
        let start = Instant::now();
        for choice in 0..CHOICES {
            let parts = [(1, 2_000), (choice % 97, 4_000), (choice, 500)];
            let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
            let left = Duration::from_millis(800);
            let margin = Duration::ZERO;
            let placement = Placement { parts: &parts, left, margin, domain: None, token_ms: 0.02 };
            black_box(place(&placement, &all, weight, load));
        }
        let each = start.elapsed().as_nanos() as f64 / CHOICES as f64;
        // Nothing is left to do if the output is closed.
        let _ = writeln!(std::io::stdout(), "{size} upstreams: {each:.0} ns a choice");
    }
}
