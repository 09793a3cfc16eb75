//! Handles requests that this member serves as the leader.

use types::{NodeId, VmName};

use super::{Core, Outbox};
use crate::address::Address;
use crate::pending::{MAX_PENDING_REQUESTS, respond};
use crate::request::{LeaderRequest, LeaderResponse, RequestError, Responder};

impl<O: Outbox> Core<O> {
    pub(super) fn handle_request(&mut self, request: LeaderRequest, responder: Responder) {
        if self.pending.len() + self.reads.len() >= MAX_PENDING_REQUESTS {
            return respond(responder, Err(RequestError::NotRun("member is busy".to_owned())));
        }
        match request {
            LeaderRequest::Command(command) => {
                let data = match replica::encode(&command) {
                    Ok(data) => data,
                    Err(e) => return respond(responder, Err(RequestError::Refused(e.to_string()))),
                };
                match self.node.propose(data) {
                    Ok(position) => self.pending.add(position.term, position.index, responder),
                    Err(e) => respond(responder, Err(RequestError::NotRun(e.to_string()))),
                }
            }
            LeaderRequest::Read => self.read(responder),
            LeaderRequest::Members { from, to } => {
                if *self.node.membership() != from {
                    let reason = "the membership changed meanwhile".to_owned();
                    return respond(responder, Err(RequestError::Refused(reason)));
                }
                match self.node.change(to) {
                    Ok(position) => self.pending.add(position.term, position.index, responder),
                    Err(e) => respond(responder, Err(RequestError::Refused(e.to_string()))),
                }
            }
            LeaderRequest::Transfer(vm) => self.transfer(vm, responder),
        }
    }

    fn read(&mut self, responder: Responder) {
        self.next_read += 1;
        match self.node.read(self.next_read) {
            Ok(()) => {
                self.reads.insert(self.next_read, responder);
            }
            Err(e) => respond(responder, Err(RequestError::NotRun(e.to_string()))),
        }
    }

    fn transfer(&mut self, vm: Option<VmName>, responder: Responder) {
        let mut to = None;
        if let Some(vm) = vm {
            to = self.voter_on(&vm);
            if to.is_none() {
                return respond(responder, Err(RequestError::Refused(format!("{vm} is no voter"))));
            }
        }
        // With a single voter the node would transfer leadership to itself, which has no effect.
        if self.node.membership().voters.len() < 2 {
            let reason = "no other voter can take over; add a member first".to_owned();
            return respond(responder, Err(RequestError::Refused(reason)));
        }
        match self.node.transfer(to) {
            Ok(()) => respond(responder, Ok(LeaderResponse::Done)),
            Err(e) => respond(responder, Err(RequestError::NotRun(e.to_string()))),
        }
    }

    fn voter_on(&self, vm: &VmName) -> Option<NodeId> {
        let mut voters = self.node.membership().voters.iter();
        voters.find(|(_, it)| Address::decode(it).as_ref() == Some(vm)).map(|(node, _)| *node)
    }
}
