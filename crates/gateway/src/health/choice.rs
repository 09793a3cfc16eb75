//! Chooses the upstream of a trial.

/// The greatest share of the requests that may be trials which go to one upstream as trials.
const MAX_SHARE: f64 = 0.5;

/// Returns the upstream at which a request becomes a trial, if it does; `share` is the share of all
/// requests that an upstream is to get as trials, `mix` the part of the requests that may be
/// trials, and `draw` a number in 0..1 drawn for the request.
pub fn choose_trial<T>(
    upstreams: impl Iterator<Item = T>,
    share: impl Fn(&T) -> f64,
    mix: f64,
    draw: f64,
) -> Option<T> {
    let mut left = draw;
    upstreams.into_iter().find(|it| {
        left -= (share(it) / mix).min(MAX_SHARE);
        left < 0.0
    })
}
