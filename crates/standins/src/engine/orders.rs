//! Orders to a fake engine. An order is the complete target state; its fencing number may be
//! checked or ignored.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use types::{Fence, Fencing};

use super::Config;
use crate::http::{self, Reply};

/// The body of `POST /v1/orders`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Order {
    /// The fencing number.
    pub fence: Fence,
    /// The model to load.
    pub model: Option<String>,
    /// The version of the model's weights.
    pub version: Option<String>,
    /// The adapters to load with the model.
    pub adapters: Vec<String>,
    /// The role to take.
    pub role: Option<String>,
}

/// The body of the response to `GET /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// The last accepted order.
    #[serde(flatten)]
    pub order: Order,
    /// `ready`, or `loading` until the order is in force.
    pub state: String,
}

#[derive(Debug)]
pub(super) struct Orders {
    fencing: Fencing,
    loading: Duration,
    order: Order,
    ready_at: Instant,
}

impl Orders {
    pub(super) fn new(config: &Config) -> Self {
        let model = config.model.as_ref().map(ToString::to_string);
        Self {
            fencing: config.fencing,
            loading: config.loading.into(),
            order: Order { model, ..Order::default() },
            ready_at: Instant::now(),
        }
    }

    pub(super) fn status(&self) -> OrderStatus {
        let state = if self.is_ready() { "ready" } else { "loading" };
        OrderStatus { order: self.order.clone(), state: state.to_owned() }
    }

    pub(super) fn is_ready(&self) -> bool {
        Instant::now() >= self.ready_at
    }

    /// Returns whether calls for `model` can be served; an empty name matches any model.
    pub(super) fn serves(&self, model: &str) -> bool {
        model.is_empty() || self.order.model.as_deref().is_none_or(|it| it == model)
    }

    /// Accepts or refuses an order and builds the response.
    pub(super) fn answer_order(&mut self, body: &Bytes) -> Reply {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(e) => return http::error(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        if self.fencing == Fencing::Checks && order.fence < self.order.fence {
            let body = serde_json::json!({"fence": self.order.fence});
            return http::json(StatusCode::CONFLICT, &body);
        }
        let same = order.model == self.order.model
            && order.version == self.order.version
            && order.adapters == self.order.adapters
            && order.role == self.order.role;
        if !same {
            self.ready_at = Instant::now() + self.loading;
        }
        self.order = order;
        http::json(StatusCode::OK, &self.status())
    }
}
