//! Divides the customers' limits among the entries by demand, and reports only the shares that
//! changed.
//!
//! Every entry gets a minimum share, so that a customer's first requests at an entry need no round
//! trip. The rest follows the demand that the entries reported, including refused requests. The
//! shares of one customer sum to at most its limit. An entry that is silent keeps its last share,
//! so that share stays reserved for [`SILENT_ENTRY_HOLD`]; after that time the entry itself no
//! longer trusts its service.
//!
//! A customer's shares stay unchanged while the demand at every entry is well below its share, and
//! they change only by more than [`MIN_RELATIVE_CHANGE`]. 1,100 customers at 380 entries therefore
//! cause no messages while their demand is met. Decreases and increases are reported in the same
//! round, so the sum exceeds the limit only until the decreases arrive.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use types::{Customer, CustomerLimits, CustomerName, Rate, SiteName, VmName};
use wire::session::{CustomerShare, UsageReport};

/// How long the share of a silent entry stays reserved.
pub(crate) const SILENT_ENTRY_HOLD: Duration = Duration::from_secs(10);

/// The fraction of a limit that is divided evenly, regardless of demand.
const EVEN_FRACTION: f64 = 0.2;

/// The weight of the newest report in the exponentially smoothed demand.
const NEWEST_WEIGHT: f64 = 0.5;

/// The fraction of its share that an entry's demand may reach before the customer's shares are
/// recomputed.
const TARGET_UTILIZATION: f64 = 0.5;

/// The relative change below which a share is not reported again.
const MIN_RELATIVE_CHANGE: f64 = 0.1;

/// A smoothed demand below this value is removed.
const MIN_DEMAND: f64 = 1e-3;

/// Shares by entry.
pub type SharesByEntry = BTreeMap<VmName, Vec<CustomerShare>>;

/// All customers, as one site sees them.
type Customers = BTreeMap<CustomerName, Customer>;

/// One customer's demand at one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Demand {
    /// Requests per second.
    pub rate: f64,
    /// Concurrent requests.
    pub concurrency: f64,
    /// Tokens per second.
    pub tokens: f64,
}

/// The demand at every entry and the shares assigned to it.
#[derive(Debug, Default)]
pub struct ShareTable {
    entries: BTreeMap<VmName, Entry>,
    /// The entries for which the shares were computed; empty if all shares are to be recomputed.
    computed_for: Vec<(VmName, SiteName)>,
    limits: BTreeMap<SiteName, BTreeMap<CustomerName, CustomerLimits>>,
}

#[derive(Debug)]
struct Entry {
    site: SiteName,
    last_seen: Instant,
    demand: BTreeMap<CustomerName, Demand>,
    assigned: BTreeMap<CustomerName, CustomerShare>,
}

impl ShareTable {
    /// Records that an entry has a session.
    pub fn mark_seen(&mut self, vm: &VmName, site: &SiteName, now: Instant) {
        let entry = self.entries.entry(vm.clone()).or_insert_with(|| Entry {
            site: site.clone(),
            last_seen: now,
            demand: BTreeMap::new(),
            assigned: BTreeMap::new(),
        });
        entry.site = site.clone();
        entry.last_seen = now;
    }

    /// Removes an entry that drains and takes no new requests.
    pub fn remove(&mut self, vm: &VmName) {
        self.entries.remove(vm);
    }

    /// Adds an entry's usage report to its demand.
    pub fn report(&mut self, vm: &VmName, report: &UsageReport) {
        let Some(entry) = self.entries.get_mut(vm) else {
            return;
        };
        let seconds = (report.period.0 as f64 / 1e3).max(0.1);
        for demand in entry.demand.values_mut() {
            demand.blend(Demand::default());
        }
        for used in &report.customers {
            let demand = entry.demand.entry(used.customer.clone()).or_default();
            // The loop above has already scaled the old demand by the remaining weight; this adds
            // the newest part.
            demand.rate += NEWEST_WEIGHT * f64::from(used.requests) / seconds;
            demand.concurrency += NEWEST_WEIGHT * f64::from(used.concurrency);
            demand.tokens += NEWEST_WEIGHT * used.tokens.0 as f64 / seconds;
        }
        entry.demand.retain(|_, it| !it.is_negligible());
    }

    /// Clears the assigned shares, because another member led in the meantime.
    pub fn reset(&mut self) {
        self.computed_for.clear();
        self.entries.values_mut().for_each(|it| it.assigned.clear());
    }

    /// Returns all assigned shares.
    pub fn all(&self) -> SharesByEntry {
        let row = |it: &Entry| it.assigned.values().cloned().collect();
        self.entries.iter().map(|(vm, it)| (vm.clone(), row(it))).collect()
    }

    /// Assigns the limits to the entries; `customers` returns the customers as an entry's site sees
    /// them. Returns the shares that changed, including those that no longer have a limit.
    pub fn allocate<'a>(
        &mut self,
        now: Instant,
        customers: impl Fn(&SiteName) -> Option<&'a Customers>,
    ) -> SharesByEntry {
        self.entries.retain(|_, entry| now.duration_since(entry.last_seen) < SILENT_ENTRY_HOLD);
        let changed_entries = self.update_entries();
        let mut due = self.update_limits(customers);
        if changed_entries {
            due.extend(self.limits.values().flat_map(|it| it.keys().cloned()));
        }
        let over_share = self.customers_over_share();
        let mut changed = SharesByEntry::new();
        for customer in due.union(&over_share) {
            self.recompute(customer, due.contains(customer), &mut changed);
        }
        changed
    }

    /// Returns whether the set of entries differs from that for which the shares were computed, and
    /// records the new set.
    fn update_entries(&mut self) -> bool {
        let now = self.entries.iter().map(|(vm, it)| (vm, &it.site));
        if now.eq(self.computed_for.iter().map(|(vm, site)| (vm, site))) {
            return false;
        }
        let now = self.entries.iter().map(|(vm, it)| (vm.clone(), it.site.clone()));
        self.computed_for = now.collect();
        true
    }

    /// Returns the customers whose limits changed at any site, and records the new limits.
    fn update_limits<'a>(
        &mut self,
        customers: impl Fn(&SiteName) -> Option<&'a Customers>,
    ) -> BTreeSet<CustomerName> {
        let mut changed = BTreeSet::new();
        let sites: BTreeSet<&SiteName> = self.entries.values().map(|it| &it.site).collect();
        for site in sites {
            let Some(customers) = customers(site) else {
                continue;
            };
            let known = self.limits.entry(site.clone()).or_default();
            let now = customers.iter().map(|(name, it)| (name, &it.limits));
            if now.clone().eq(known.iter()) {
                continue;
            }
            let new = now.clone().filter(|(name, it)| known.get(*name) != Some(it));
            changed.extend(new.map(|(name, _)| name.clone()));
            changed.extend(known.keys().filter(|it| !customers.contains_key(*it)).cloned());
            *known = now.map(|(name, it)| (name.clone(), it.clone())).collect();
        }
        changed
    }

    /// Returns the customers whose demand at some entry exceeds the target utilization of its
    /// share.
    fn customers_over_share(&self) -> BTreeSet<CustomerName> {
        let mut names = BTreeSet::new();
        for entry in self.entries.values() {
            let over_share = entry.demand.iter().filter(|(name, demand)| {
                entry.assigned.get(*name).is_some_and(|share| demand.exceeds_share(share))
            });
            names.extend(over_share.map(|(name, _)| name.clone()));
        }
        names
    }

    /// Recomputes one customer's shares and adds the changed ones to `changed`. Small changes are
    /// left out, unless `exact` is set or the sum would exceed the limit without them.
    fn recompute(&mut self, customer: &CustomerName, exact: bool, changed: &mut SharesByEntry) {
        let shares = self.shares(customer);
        let exact = exact || self.exceeds_limit(customer, &shares);
        for ((vm, entry), share) in self.entries.iter_mut().zip(shares) {
            let before = entry.assigned.get(customer);
            let same = match before {
                Some(before) if exact => *before == share,
                Some(before) => is_near(before, &share),
                None => is_empty(&share),
            };
            if same {
                continue;
            }
            if is_empty(&share) {
                entry.assigned.remove(customer);
            } else {
                entry.assigned.insert(customer.clone(), share.clone());
            }
            changed.entry(vm.clone()).or_default().push(share);
        }
    }

    /// Returns whether the sum would exceed a limit if shares with only small changes were kept.
    fn exceeds_limit(&self, customer: &CustomerName, shares: &[CustomerShare]) -> bool {
        let mut sums = [0.0; 3];
        for (entry, share) in self.entries.values().zip(shares) {
            let kept =
                entry.assigned.get(customer).filter(|it| is_near(it, share)).unwrap_or(share);
            let limits = self.limits.get(&entry.site).and_then(|it| it.get(customer));
            let limits = limits.cloned().unwrap_or_default();
            for (sum, fraction) in sums.iter_mut().zip(limit_fractions(kept, &limits)) {
                *sum += fraction;
            }
        }
        sums.iter().any(|it| *it > 1.0 + 1e-9)
    }

    /// Returns one customer's shares, in the order of the entries.
    fn shares(&self, customer: &CustomerName) -> Vec<CustomerShare> {
        let rates = self.fractions(customer, |it| it.rate);
        let tokens = self.fractions(customer, |it| it.tokens);
        let concurrency = self.fractions(customer, |it| it.concurrency);
        let mut by_limit: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
        let share = |(index, entry): (usize, &Entry)| {
            let limits = self.limits.get(&entry.site).and_then(|it| it.get(customer));
            let limits = limits.cloned().unwrap_or_default();
            let mut apportioned =
                |it: u32| by_limit.entry(it).or_insert_with(|| apportion(it, &concurrency))[index];
            CustomerShare {
                customer: customer.clone(),
                rate: limits.rate.map(|it| Rate(it.0 * rates[index])),
                concurrency: limits.concurrency.map(&mut apportioned),
                tokens: limits.tokens.map(|it| Rate(it.0 * tokens[index])),
            }
        };
        self.entries.values().enumerate().map(share).collect()
    }

    /// Returns each entry's fraction of the customer's limit; the fractions sum to one.
    fn fractions(&self, customer: &CustomerName, of: impl Fn(&Demand) -> f64) -> Vec<f64> {
        let demand = |it: &Entry| it.demand.get(customer).map_or(0.0, &of);
        let demand: Vec<f64> = self.entries.values().map(demand).collect();
        let even = 1.0 / demand.len() as f64;
        let sum: f64 = demand.iter().sum();
        let fraction = |it: f64| EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * it / sum;
        demand.into_iter().map(|it| if sum <= 0.0 { even } else { fraction(it) }).collect()
    }
}

impl Demand {
    fn blend(&mut self, newest: Demand) {
        self.rate = newest.rate * NEWEST_WEIGHT + self.rate * (1.0 - NEWEST_WEIGHT);
        self.concurrency =
            newest.concurrency * NEWEST_WEIGHT + self.concurrency * (1.0 - NEWEST_WEIGHT);
        self.tokens = newest.tokens * NEWEST_WEIGHT + self.tokens * (1.0 - NEWEST_WEIGHT);
    }

    fn is_negligible(&self) -> bool {
        self.rate.max(self.concurrency).max(self.tokens) < MIN_DEMAND
    }

    fn exceeds_share(&self, share: &CustomerShare) -> bool {
        let over = |demand: f64, share: Option<f64>| {
            share.is_some_and(|it| demand > TARGET_UTILIZATION * it)
        };
        over(self.rate, share.rate.map(|it| it.0))
            || over(self.concurrency, share.concurrency.map(f64::from))
            || over(self.tokens, share.tokens.map(|it| it.0))
    }
}

/// Returns the share as a fraction of each limit.
fn limit_fractions(share: &CustomerShare, limits: &CustomerLimits) -> [f64; 3] {
    let fraction = |share: Option<f64>, limit: Option<f64>| match (share, limit) {
        (Some(share), Some(limit)) if limit > 0.0 => share / limit,
        _ => 0.0,
    };
    [
        fraction(share.rate.map(|it| it.0), limits.rate.map(|it| it.0)),
        fraction(share.concurrency.map(f64::from), limits.concurrency.map(f64::from)),
        fraction(share.tokens.map(|it| it.0), limits.tokens.map(|it| it.0)),
    ]
}

/// Returns whether a share has no limit.
fn is_empty(share: &CustomerShare) -> bool {
    share.rate.is_none() && share.concurrency.is_none() && share.tokens.is_none()
}

/// Returns whether two shares differ by no more than [`MIN_RELATIVE_CHANGE`].
fn is_near(before: &CustomerShare, after: &CustomerShare) -> bool {
    let near = |before: Option<f64>, after: Option<f64>| match (before, after) {
        (Some(before), Some(after)) => (before - after).abs() <= MIN_RELATIVE_CHANGE * before,
        (before, after) => before == after,
    };
    near(before.rate.map(|it| it.0), after.rate.map(|it| it.0))
        && near(before.concurrency.map(f64::from), after.concurrency.map(f64::from))
        && near(before.tokens.map(|it| it.0), after.tokens.map(|it| it.0))
}

/// Divides `limit` into whole units by entry. The units left by rounding down go to the largest
/// remainders, so that a limit below the number of entries is still assigned.
fn apportion(limit: u32, fractions: &[f64]) -> Vec<u32> {
    let exact: Vec<f64> = fractions.iter().map(|it| f64::from(limit) * it).collect();
    let mut units: Vec<u32> = exact.iter().map(|it| it.floor() as u32).collect();
    let rest = limit.saturating_sub(units.iter().sum()) as usize;
    let mut order: Vec<usize> = (0..exact.len()).collect();
    order.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()).then(a.cmp(b)));
    order.iter().take(rest).for_each(|at| units[*at] += 1);
    units
}
