//! Status reports of the leader for operators: members, policy changes, policy versions and tasks.

use super::FleetStateMachine;
use crate::fleet::message::{
    FleetStatus, MemberSummary, OutcomeReport, PendingSummary, PolicyText, TaskStatus,
};
use beamgap_fleet_types::MemberId;
use beamgap_leases::Task;
use beamgap_policy::rollout::{Version, EMPTY_POLICY};

impl FleetStateMachine {
    fn task_status(&self, now: f64, task: &Task) -> TaskStatus {
        let lease = task.lease.as_ref();
        let renewed_ms_ago = lease.and_then(|lease| self.lease_leader.since_renewal(now, lease.token));
        TaskStatus { task: task.clone(), renewed_ms_ago }
    }

    /// Returns the named task with its history or, without a name, all tasks without their histories.
    pub(super) fn task_statuses(&self, now: f64, name: Option<&str>) -> Vec<TaskStatus> {
        let tasks = self.tasks.tasks.values();
        let Some(name) = name else {
            let mut statuses: Vec<_> = tasks.map(|task| self.task_status(now, task)).collect();
            for status in &mut statuses {
                status.task.history.clear();
            }
            return statuses;
        };
        let named = tasks.filter(|task| task.spec.name == name);
        named.map(|task| self.task_status(now, task)).collect()
    }

    pub(super) fn status(&self, now: f64) -> FleetStatus {
        let pending = self.policy.pending.as_ref().map(|pending| PendingSummary {
            id: pending.id.clone(),
            by: pending.requested_by.clone(),
            committed: pending.committed,
        });
        let members = self.policy.members.keys().map(|member| self.member_summary(now, member));
        FleetStatus {
            version: self.policy.version(),
            pending,
            timings: self.policy.timings,
            members: members.collect(),
        }
    }

    fn member_summary(&self, now: f64, member: &MemberId) -> MemberSummary {
        let MemberId { name, incarnation } = member.clone();
        match self.policy_leader.member_statuses().get(member) {
            Some(last) => MemberSummary {
                name,
                incarnation,
                version: last.version,
                lease: last.lease_kind.clone(),
                polled_ms_ago: Some(now - last.polled_at),
                blocked_reason: last.blocked_reason.clone(),
                note: last.note.clone(),
            },
            None => MemberSummary { name, incarnation, ..MemberSummary::default() },
        }
    }

    pub(super) fn outcome_report(&self, now: f64, id: &str) -> OutcomeReport {
        OutcomeReport { outcome: self.policy.outcome(id), members_behind: self.members_behind(now) }
    }

    /// Counts the members that polled within the length of a long lease but do not have the active version yet.
    fn members_behind(&self, now: f64) -> usize {
        let active = Some(self.policy.version());
        let lease_length = self.policy.timings.map_or(0.0, |timings| timings.lease_ms);
        let statuses = self.policy_leader.member_statuses().values();
        statuses.filter(|last| last.version != active && now - last.polled_at < lease_length).count()
    }

    pub(super) fn policy_text(&self, version: Option<Version>) -> Option<PolicyText> {
        let version = version.unwrap_or(self.policy.version());
        let kept = self.policy.revisions.iter().find(|revision| revision.version == version);
        match kept {
            Some(revision) => Some(PolicyText { version, text: revision.policy_text.clone() }),
            None if version == 0 => Some(PolicyText { version: 0, text: EMPTY_POLICY.to_owned() }),
            None => None,
        }
    }
}
