//! Caches the newest plans and their packages, so that each is packed once for all entries.

use std::collections::VecDeque;
use std::sync::Arc;

use types::Version;

use crate::message::PartRequest;
use crate::package::{Package, Part};
use crate::plan::StoredPlan;

/// The maximum number of plans that are kept to compute differences from. Entries are one or two
/// versions behind; with a change every 60 ms eight plans cover half a second.
const MAX_PLANS: usize = 8;

/// The maximum size of all kept plans, in bytes; the newest is always kept.
const MAX_PLANS_BYTES: usize = 16 << 20;

/// The maximum number of packages that are kept: twice the number of versions that entries are likely
/// to have.
const MAX_PACKAGES: usize = 16;

/// The newest plans and the packages made from them.
#[derive(Debug, Default)]
pub(crate) struct PackageCache {
    plans: VecDeque<Arc<StoredPlan>>,
    /// Ordered by last use; the one used last is at the back.
    packages: VecDeque<Package>,
}

impl PackageCache {
    /// Adds the plan that the member has applied, if it is newer than the kept ones.
    pub(crate) fn add_plan(&mut self, plan: &Arc<StoredPlan>) {
        if plan.version == Version(0)
            || self.plans.back().is_some_and(|it| it.version >= plan.version)
        {
            return;
        }
        self.plans.push_back(Arc::clone(plan));
        let is_large = |it: &VecDeque<Arc<StoredPlan>>| {
            it.len() > MAX_PLANS
                || it.iter().map(|it| it.text.len()).sum::<usize>() > MAX_PLANS_BYTES
        };
        while self.plans.len() > 1 && is_large(&self.plans) {
            self.plans.pop_front();
        }
    }

    /// Returns the next part of the package that an entry has started to receive, or the first part of
    /// the newest plan; `None` if there is no plan as new as the requested one.
    pub(crate) fn answer(&mut self, request: &PartRequest) -> Option<Part> {
        if let Some(it) = request.progress
            && let Some(package) = self.package(it.id.version, it.id.base)
            && package.id() == it.id
        {
            return package.part(it.offset);
        }
        let newest = self.plans.back()?.version;
        let package = self.package(newest, request.held)?;
        (newest >= request.version).then(|| package.part(0)).flatten()
    }

    /// Returns the package of a version for an entry that has `base`. It stays cached while it is used,
    /// even if the plan is no longer among the newest. Otherwise an entry on a slow link would have to
    /// start again with each change and might never receive a whole plan.
    fn package(&mut self, version: Version, base: Option<Version>) -> Option<&Package> {
        let known = |it: &Package| it.id().version == version && it.id().base == base;
        let package = match self.packages.iter().position(known) {
            Some(place) => self.packages.remove(place)?,
            None => self.pack(version, base)?,
        };
        if self.packages.len() >= MAX_PACKAGES {
            self.packages.pop_front();
        }
        self.packages.push_back(package);
        self.packages.back()
    }

    fn pack(&self, version: Version, base: Option<Version>) -> Option<Package> {
        let plan = self.plans.iter().find(|it| it.version == version)?;
        let base = self.plans.iter().find(|it| Some(it.version) == base);
        Some(Package::pack(plan, base.map(Arc::as_ref)))
    }
}
