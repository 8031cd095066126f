//! What the host takes from others' messages and from the host list.

use super::{
    Action,
    Membership,
    Message,
    News,
    Policy,
    Registration,
    Said,
    Standing,
    entry::Change, //
};
use crate::{
    core::host::Host,
    time::Instant, //
};

impl Membership {
    pub(super) fn message(
        &mut self,
        now: Instant,
        from: &Host,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Ping {
                number,
                standing,
                news,
            } => {
                self.hear(now, from, &standing, &news, out);
                let message = Message::Pong {
                    number,
                    standing: self.standing(),
                    news: self.news_for(&from.id),
                };
                let to = from.clone();
                out.push(Action::Send { to, message });
            }
            Message::Pong {
                number,
                standing,
                news,
            } => {
                self.hear(now, from, &standing, &news, out);
                if self.prober.answered(number, &from.id) {
                    self.table.heard(now, &from.id);
                }
                if let Some((to, number)) = self.prober.relayed(number) {
                    let news = Box::new(News::told(from.clone(), &standing));
                    let message = Message::PongFor { number, news };
                    out.push(Action::Send { to, message });
                }
            }
            Message::PingFor { number, target } => {
                if let Some(entry) = self.table.entry(&target) {
                    let host = entry.host.clone();
                    let number = self.prober.relay(now, from, number);
                    out.push(self.ping_action(number, host));
                }
            }
            Message::PongFor { number, news } => {
                self.take(now, &news, true, out);
                if self.prober.answered(number, &news.host.id) {
                    self.table.heard(now, &news.host.id);
                }
            }
            Message::News(news) => {
                for news in &news {
                    self.take(now, news, true, out);
                }
            }
            Message::Compare { digest } => {
                if digest != self.table.digest(self.now, &self.own_news()) {
                    self.send_table(from, false, out);
                }
            }
            Message::Table {
                news,
                digest,
                is_answer,
            } => {
                for news in &news {
                    self.take(now, news, false, out);
                }
                if !is_answer && digest != self.table.digest(self.now, &self.own_news()) {
                    self.send_table(from, true, out);
                }
            }
        }
    }

    fn send_table(&self, to: &Host, is_answer: bool, out: &mut Vec<Action>) {
        let mut news = self.table.all_news(self.now);
        news.push(self.own_news());
        out.push(Action::Send {
            to: to.clone(),
            message: Message::Table {
                news,
                digest: self.table.digest(self.now, &self.own_news()),
                is_answer,
            },
        });
    }

    /// Takes what another host says of itself and of others.
    fn hear(
        &mut self,
        now: Instant,
        from: &Host,
        standing: &Standing,
        news: &[News],
        out: &mut Vec<Action>,
    ) {
        let change = self.table.merge_standing(now, from, standing);
        if let Some(news) = self.table.news(now, &from.id) {
            self.pass_on(now, news, change, out);
        }
        if self.progress.merge(&standing.progress) {
            self.revision += 1;
        }
        for news in news {
            self.take(now, news, true, out);
        }
    }

    fn take(&mut self, now: Instant, news: &News, is_rumour: bool, out: &mut Vec<Action>) {
        if news.host.id.name == self.own.id.name {
            self.take_own(now, news, out);
            return;
        }
        let change = self.table.merge(now, news, is_rumour);
        self.pass_on(now, news.clone(), change, out);
    }

    /// Refutes what others say of this host, where it can.
    fn take_own(&mut self, now: Instant, news: &News, out: &mut Vec<Action>) {
        let own = self.own.id.incarnation;
        let said = news.host.id.incarnation;
        if said < own {
            return;
        }
        if said > own || news.state == Said::Gone {
            if !std::mem::replace(&mut self.is_over, true) {
                self.revision += 1;
                self.decide(now, news, "own_life_is_over", 0, out);
            }
            return;
        }
        if news.state == Said::Suspect && news.refutation >= self.refutation {
            self.refutation = news.refutation + 1;
            self.rumours.put(self.own_news());
        }
    }

    fn pass_on(&mut self, now: Instant, news: News, change: Change, out: &mut Vec<Action>) {
        let rule = match change {
            Change::Nothing => return,
            Change::Joined => "joined",
            Change::Suspected => "suspect_told",
            Change::Refuted => "refuted",
            Change::Serving => "serving",
            Change::Leaving => "leaving",
            Change::Gone => "gone_told",
        };
        if change == Change::Joined {
            self.prober.join(&news.host.id);
        }
        self.decide(now, &news, rule, 0, out);
        self.rumours.put(news);
    }

    pub(super) fn host_list(&mut self, now: Instant, list: &[Registration], out: &mut Vec<Action>) {
        let own = list
            .iter()
            .filter(|listed| listed.host.id.name == self.own.id.name);
        if let Some(own) = own.max_by_key(|listed| listed.host.id.incarnation) {
            let news = News::bare(own.host.clone(), Said::Alive);
            self.take_own(now, &news, out);
        }
        for (news, change) in self.table.read_list(now, list) {
            match change {
                Change::Gone => self.decide(now, &news, "gone_delisted", 0, out),
                Change::Leaving => self.decide(now, &news, "leaving_listed", 0, out),
                _ => self.decide(now, &news, "joined_listed", 0, out),
            }
            if self.policy == Policy::Gossip && change != Change::Joined {
                self.rumours.put(news);
            }
        }
        if self.policy == Policy::HostListOnly {
            self.table.trust_all(now);
        }
        self.revision += 1;
        self.note_progress();
    }
}
