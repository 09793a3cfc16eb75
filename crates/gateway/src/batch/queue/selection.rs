//! Selects the pieces of one call.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use tokio::time::Instant;

use super::reservation::Reservation;
use super::{JobKey, LARGE_RESULT_BYTES, LOCAL_WAIT_MARGIN, Piece, Queue, Target};

/// What the selection of a call goes by.
pub(super) struct Options<'a> {
    /// The upstreams that may get calls, with the space reserved at each.
    pub(super) available: &'a [&'a Target],
    pub(super) reserved: Vec<Option<Reservation>>,
    /// The expected size of the result of each waiting piece.
    pub(super) sizes: Vec<u64>,
    /// The number of waiting pieces of the job of each waiting piece.
    pub(super) counts: Vec<usize>,
    /// The number of idle upstreams that can take full calls.
    pub(super) idle: usize,
}

/// The pieces selected so far.
struct Selection<'a> {
    target: &'a Target,
    most: usize,
    /// The bytes that are free and that the upstream has in all.
    space: u64,
    total: u64,
    /// Whether nothing is stored at the upstream.
    is_empty: bool,
    reserved: Option<Reservation>,
    chosen: Vec<usize>,
    /// The bytes of pieces behind the reservation.
    overtaking: u64,
    /// The jobs of which a piece is chosen.
    begun: HashSet<JobKey>,
    /// The number of pieces ahead in each failure domain.
    ahead: Vec<(&'a Arc<str>, usize)>,
}

impl Selection<'_> {
    fn is_full(&self) -> bool {
        self.chosen.len() >= self.most
    }

    /// Returns whether there is space for the result of `size` bytes of the piece at an index.
    fn has_space(&self, at: usize, size: u64) -> bool {
        let alone = self.is_empty && self.chosen.is_empty() && size <= self.total;
        let rest = self.reserved.filter(|it| at > it.at).map(|it| it.rest);
        (size <= self.space || alone) && rest.is_none_or(|it| self.overtaking + size <= it)
    }

    /// Takes a piece with a result of `size` bytes, for which there is space.
    fn take(&mut self, at: usize, piece: &Piece, size: u64) {
        if self.reserved.is_some_and(|it| at > it.at) {
            self.overtaking += size;
        }
        self.space = self.space.saturating_sub(size);
        self.chosen.push(at);
        self.begun.insert(piece.job);
    }
}

/// The pieces selected for a call.
pub(super) struct Selected {
    /// Their indices in the queue, ascending.
    pub(super) chosen: Vec<usize>,
    /// The bytes of those behind a piece for which space is reserved.
    pub(super) overtaking: u64,
}

impl Queue {
    /// Selects the pieces for a call to the upstream at index `at` of the available ones.
    ///
    /// Pieces are taken by urgency. A job that does not fit into the rest of the call is passed
    /// over at first: its first results would take space while they wait for the others, which go
    /// into the next call in any case. What is left of the call is filled with pieces of such jobs,
    /// unless another upstream is idle for them.
    pub(super) fn select<'a>(&'a self, options: &Options<'a>, at: usize, now: Instant) -> Selected {
        let target = options.available[at];
        let state = self.states.get(&target.id);
        let account = state.map(|it| &it.account);
        let mut selection = Selection {
            target,
            most: self.spec.batch.min(target.limit),
            space: account.map_or(0, |it| it.free(self.spec.space_bytes, now)),
            total: self.spec.space_bytes,
            is_empty: account.is_some_and(|it| it.taken(now) == 0),
            reserved: options.reserved[at],
            chosen: Vec::new(),
            overtaking: 0,
            begun: HashSet::new(),
            ahead: Vec::new(),
        };
        let mut split: Vec<usize> = Vec::new();
        for (at, piece) in self.waiting.iter().enumerate() {
            if selection.is_full() {
                break;
            }
            let (size, count) = (options.sizes[at], options.counts[at]);
            if !selection.has_space(at, size) || !self.may_take(&mut selection, piece, options, now)
            {
                continue;
            }
            let left = selection.most - selection.chosen.len();
            let is_split = count > left && count <= selection.most;
            if is_split && !selection.begun.contains(&piece.job) {
                split.push(at);
                continue;
            }
            selection.take(at, piece, size);
        }
        if options.idle < 2 || self.waiting.len() > options.idle * self.spec.batch {
            for at in split {
                let size = options.sizes[at];
                if selection.is_full() {
                    break;
                }
                if selection.has_space(at, size) {
                    selection.take(at, &self.waiting[at], size);
                }
            }
        }
        let Selection { mut chosen, overtaking, .. } = selection;
        chosen.sort_unstable();
        Selected { chosen, overtaking }
    }

    /// Returns whether a piece may go into the call, if there is space for its result.
    fn may_take<'a>(
        &'a self,
        selection: &mut Selection<'a>,
        piece: &'a Piece,
        options: &Options<'a>,
        now: Instant,
    ) -> bool {
        let first = selection.chosen.first().map(|it| &self.waiting[*it]);
        if first.is_some_and(|it| !it.can_join(piece)) {
            return false;
        }
        let target = selection.target;
        !self.waits_for_domain(piece, target, options.available, &mut selection.ahead, now)
    }

    /// Returns whether a piece should wait for an upstream in its failure domain: it does while it
    /// can still be on time there, behind the pieces that are `ahead` of it.
    fn waits_for_domain<'a>(
        &self,
        piece: &'a Piece,
        target: &Target,
        available: &[&Target],
        ahead: &mut Vec<(&'a Arc<str>, usize)>,
        now: Instant,
    ) -> bool {
        let Some(domain) = &piece.domain else { return false };
        if piece.transfer_bytes < LARGE_RESULT_BYTES || *domain == target.domain {
            return false;
        }
        let near = available.iter().filter(|it| it.domain == *domain);
        let busy =
            near.map(|it| self.states.get(&it.id).and_then(|it| it.busy_until).unwrap_or(now));
        let busy: Vec<Instant> = busy.collect();
        let Some(first) = busy.iter().min() else { return false };
        let before = match ahead.iter_mut().find(|it| it.0 == domain) {
            Some(known) => {
                known.1 += 1;
                known.1
            }
            None => {
                ahead.push((domain, 0));
                0
            }
        };
        let turns = before / (self.spec.batch * busy.len());
        let call = self.nominal_time(self.spec.batch / 2 + 1);
        let end = *first.max(&now) + call * (turns as u32 + 1);
        end + LOCAL_WAIT_MARGIN < piece.due
    }
}

impl<'a> Options<'a> {
    /// Gathers the options for the next call of a queue.
    pub(super) fn new(
        queue: &Queue,
        available: &'a [&'a Target],
        idle: &[(usize, f64)],
        now: Instant,
    ) -> Self {
        let mut jobs: HashMap<JobKey, usize> = HashMap::new();
        for piece in &queue.waiting {
            *jobs.entry(piece.job).or_default() += 1;
        }
        let counts = queue.waiting.iter().map(|it| jobs[&it.job]);
        let sizes = queue.waiting.iter().map(|it| queue.expected_size(it.result_bytes));
        let (sizes, counts) = (sizes.collect::<Vec<u64>>(), counts.collect());
        let reserved = queue.reservations(available, &sizes, now);
        let is_roomy =
            |at: usize| available[at].limit >= queue.spec.batch && reserved[at].is_none();
        let idle = idle.iter().filter(|it| is_roomy(it.0)).count();
        Self { available, reserved, sizes, counts, idle }
    }
}
