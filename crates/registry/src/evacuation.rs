//! Evacuations: failure domains whose upstreams get nothing new.
//!
//! Members store them in the replicated log beside the plan. Each committed order gets the next
//! number, so entries that are connected to several members keep the newest state.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of past orders that are kept for operators.
const MAX_HISTORY: usize = 64;

/// What an operator wants for a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Its upstreams get nothing new.
    Evacuate,
    /// Its upstreams are used again.
    Withdraw,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Evacuate => "evacuate",
            Self::Withdraw => "withdraw",
        })
    }
}

/// An operator's order for a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The failure domain.
    pub domain: String,
    /// What the operator wants.
    pub action: Action,
    /// Who sent the order.
    pub operator: String,
    /// When it arrived at a member, in Unix ms by that member's clock.
    pub at_ms: u64,
}

/// The evacuated failure domains, and the orders that led there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The number of committed orders.
    number: u64,
    /// The order that evacuated each domain.
    active: BTreeMap<String, Order>,
    /// The last orders, the newest last.
    history: VecDeque<Order>,
}

impl Evacuations {
    /// Applies a committed order. An order for what is already so only enters the history.
    pub fn apply(&mut self, order: Order) {
        self.number += 1;
        match order.action {
            Action::Evacuate => {
                self.active.entry(order.domain.clone()).or_insert_with(|| order.clone());
            }
            Action::Withdraw => drop(self.active.remove(&order.domain)),
        }
        self.history.push_back(order);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// Returns the number of committed orders.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the orders that evacuated the domains which are evacuated now.
    pub fn active(&self) -> impl Iterator<Item = &Order> {
        self.active.values()
    }

    /// Returns the last orders, the oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Order> {
        self.history.iter()
    }

    /// Returns the state for entries.
    pub fn domains(&self) -> EvacuatedDomains {
        EvacuatedDomains { number: self.number, domains: self.active.keys().cloned().collect() }
    }
}

/// The evacuated failure domains, as entries receive them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedDomains {
    /// The number of the newest order that is applied.
    pub number: u64,
    /// The domains, in order.
    pub domains: Vec<String>,
}

impl EvacuatedDomains {
    /// Returns whether a domain is evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.iter().any(|it| it == domain)
    }
}
