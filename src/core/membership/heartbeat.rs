//! Pings, suspicion and the spreading of news.

use super::{
    Action,
    Membership,
    Message,
    News,
    Said, //
};
use crate::{
    core::host::{
        Host,
        Id, //
    },
    time::Instant,
};

/// Hosts that get the news of one round.
const NEWS_FAN_OUT: usize = 3;
/// Times at which a leaving host tells all others, in milliseconds after it began to leave.
const LEAVE_TOLD_MS: [u64; 3] = [0, 300, 1_000];

impl Membership {
    pub(super) fn tell_leave(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(since) = self.leaving_since else {
            return;
        };
        let due = LEAVE_TOLD_MS.get(self.leave_told);
        if due.is_none_or(|due_ms| now.since_ms(since) < *due_ms) {
            return;
        }
        self.leave_told += 1;
        let news = vec![self.own_news()];
        for member in self.table.members() {
            out.push(Action::Send {
                to: member.host.clone(),
                message: Message::News(news.clone()),
            });
        }
    }

    /// Asks others about hosts that are late, and suspects those that are silent to all.
    pub(super) fn check_probes(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due = self.prober.due(now);
        for (number, target) in due.late {
            let Some(entry) = self.table.entry(&target) else {
                continue;
            };
            let host = entry.host.clone();
            let members = self.table.members();
            for helper in self.prober.helpers(members, &self.own, &host) {
                out.push(Action::Send {
                    to: helper,
                    message: Message::PingFor {
                        number,
                        target: target.clone(),
                    },
                });
            }
            out.push(self.ping_action(number, host));
        }
        for (target, waited_ms) in due.silent {
            let Some(news) = self.table.suspect(now, &target) else {
                continue;
            };
            self.decide(now, &news, "suspect_silent", waited_ms, out);
            self.rumours.put(news);
        }
    }

    pub(super) fn ping(&mut self, now: Instant, out: &mut Vec<Action>) {
        if let Some(target) = self.prober.target(self.table.members()) {
            let number = self.prober.probe(now, &target.id);
            out.push(self.ping_action(number, target));
        }
        // Those who woke up learn from this that they are suspected, and refute it.
        let doubtful: Vec<Host> = self
            .table
            .entries()
            .filter(|entry| entry.said == Said::Suspect || entry.is_missing())
            .map(|entry| entry.host.clone())
            .collect();
        if let Some(target) = self.prober.pick(&doubtful) {
            let number = self.prober.recheck(now, &target.id);
            out.push(self.ping_action(number, target));
        }
    }

    pub(super) fn ping_action(&mut self, number: u64, to: Host) -> Action {
        let message = Message::Ping {
            number,
            standing: self.standing(),
            news: self.news_for(&to.id),
        };
        Action::Send { to, message }
    }

    /// Returns news for a host, first what it should know of itself.
    pub(super) fn news_for(&mut self, to: &Id) -> Vec<News> {
        let mut news = self.rumours.take(self.table.len());
        if let Some(own) = self.table.news(self.now, to)
            && own.state != Said::Alive
        {
            news.push(own);
        }
        news
    }

    pub(super) fn spread(&mut self, out: &mut Vec<Action>) {
        if self.rumours.is_empty() {
            return;
        }
        for to in self.prober.draw(self.table.members(), NEWS_FAN_OUT) {
            let news = self.rumours.take(self.table.len());
            if news.is_empty() {
                break;
            }
            out.push(Action::Send {
                to,
                message: Message::News(news),
            });
        }
    }

    pub(super) fn compare(&mut self, out: &mut Vec<Action>) {
        let digest = self.table.digest(self.now, &self.own_news());
        for to in self.prober.draw(self.table.members(), 1) {
            out.push(Action::Send {
                to,
                message: Message::Compare { digest },
            });
        }
    }
}
