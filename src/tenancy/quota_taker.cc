#include <algorithm>
#include <cmath>
#include <utility>

#include "junctionrail/tenancy.h"

namespace junctionrail {
namespace {

// A question crosses a region and back within some ms; a lost packet costs 200.
constexpr DurationMs kAnswerMs = 150;
// After a question without an answer, requests do not wait for the next one.
constexpr DurationMs kSilentMs = 300;
// What was granted ahead counts as sent at the giver: it is used soon or not at all.
constexpr DurationMs kCreditMs = 250;
// Givers are told again so often of what they are taken for.
constexpr DurationMs kHoldingsMs = 1000;
// Of all agents so many may be givers, so that few messages keep them informed.
constexpr std::size_t kMostGivers = 32;
constexpr std::string_view kGivers = "quota givers";
constexpr DurationMs kNoGiverRetryMs = 1000;
constexpr std::size_t kMostAsked = 256;
// A lower count of entries is believed once no higher one came for so long.
constexpr DurationMs kEntriesMs = 60000;
constexpr double kMsPerS = 1000;
// Where there are no agents nobody counts the entries.
constexpr int kEntriesAssumed = 8;
// One that takes less, or nothing, gets as much all the same: only an answer tells that it
// takes more again.
constexpr double kLeastUpstreamPerS = 0.05;
constexpr double kUpstreamBurst = 1;

// Names of organisations hold no blanks. A limit that changes is counted anew: what was said of
// the former one may still be under way.
std::string UpstreamAccount(const std::string& instance, double per_s) {
  return "upstream " + instance + " " + std::to_string(per_s);
}

}  // namespace

void QuotaTaker::SetOrganisations(const std::vector<Organisation>& organisations,
                                  std::uint64_t version, TimeMs now) {
  version_ = version;
  has_news_ = true;
  std::set<std::string> limited;
  for (const auto& it : organisations) {
    if (!it.quota.IsLimited()) continue;
    limited.insert(it.name);
    const auto [found, is_new] = accounts_.emplace(it.name, Account());
    found->second.limit = {it.name, it.quota.per_s, it.quota.burst};
    if (is_new) ChooseGiver(it.name, &found->second, now);
  }
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    // One with requests that still wait goes with the next configuration.
    const bool is_over = it->second.upstream.empty() && limited.count(it->first) == 0 &&
                         it->second.asked.empty() && it->second.waiting.empty();
    it = is_over ? accounts_.erase(it) : std::next(it);
  }
}

std::vector<QuotaTaker::Outcome> QuotaTaker::LimitUpstream(const std::string& instance,
                                                           std::optional<double> per_s,
                                                           TimeMs now) {
  std::vector<Outcome> outcomes;
  const auto former = upstreams_.find(instance);
  if (former != upstreams_.end()) {
    const Account& account = accounts_[former->second];
    for (const auto* waiting : {&account.asked, &account.waiting}) {
      for (const auto& it : *waiting) {
        // With another limit they ask anew.
        const Verdict verdict = per_s ? Verdict{Decision::kOver, 0} : Verdict{};
        if (it.ticket != 0) outcomes.push_back({it.ticket, verdict});
      }
    }
    Forget(former->second);
    upstreams_.erase(former);
  }
  if (!per_s) return outcomes;
  const std::string name = UpstreamAccount(instance, *per_s);
  upstreams_[instance] = name;
  Account& account = accounts_[name];
  account.upstream = instance;
  account.limit = {name, std::max(*per_s, kLeastUpstreamPerS), kUpstreamBurst};
  account.alone_from = now;
  ChooseGiver(name, &account, now);
  has_news_ = true;
  return outcomes;
}

void QuotaTaker::Forget(const std::string& account) {
  accounts_.erase(account);
  has_news_ = true;
}

void QuotaTaker::KeepUpstreams(const std::function<bool(const std::string& instance)>& has_limit) {
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    const Account& account = accounts_[it->second];
    const bool is_kept = has_limit(it->first) || !account.asked.empty() || !account.waiting.empty();
    if (!is_kept) Forget(it->second);
    it = is_kept ? std::next(it) : upstreams_.erase(it);
  }
}

QuotaTaker::Verdict QuotaTaker::TakeOfUpstream(const std::string& instance, std::uint64_t ticket,
                                               TimeMs now) {
  const auto it = upstreams_.find(instance);
  return it == upstreams_.end() ? Verdict{} : Take(it->second, 1, ticket, now);
}

// An entry that is cut off is counted by nobody, and the others are still there.
void QuotaTaker::SetEntries(int entries, TimeMs now) {
  if (entries < entries_ && now - entries_at_ < kEntriesMs) return;
  entries_ = entries;
  entries_at_ = now;
}

void QuotaTaker::SetGivers(std::vector<Giver> givers, TimeMs now) {
  std::vector<std::pair<std::uint64_t, std::size_t>> scores;
  for (std::size_t n = 0; n < givers.size(); ++n) {
    scores.emplace_back(RendezvousScore(kGivers, givers[n].address), n);
  }
  std::sort(scores.rbegin(), scores.rend());
  if (scores.size() > kMostGivers) scores.resize(kMostGivers);
  std::vector<Giver> chosen;
  for (const auto& [score, n] : scores) chosen.push_back(std::move(givers[n]));
  const bool is_same =
      std::equal(chosen.begin(), chosen.end(), givers_.begin(), givers_.end(),
                 [](const Giver& a, const Giver& b) { return a.instance == b.instance; });
  if (is_same) return;
  givers_ = std::move(chosen);
  has_news_ = true;
  for (auto& [organisation, account] : accounts_) ChooseGiver(organisation, &account, now);
}

// All entries that reach the same agents choose the same one.
void QuotaTaker::ChooseGiver(const std::string& organisation, Account* account, TimeMs now) {
  Giver best;
  std::uint64_t best_score = 0;
  for (const auto& it : givers_) {
    const std::uint64_t score = RendezvousScore(organisation, it.address);
    if (best.instance.empty() || score > best_score) {
      best = it;
      best_score = score;
    }
  }
  if (best.instance == account->giver.instance) return;
  account->giver = std::move(best);
  account->silent_until = 0;
  account->own_level = 0;
  account->own_at = now;
  // What the former giver was asked is asked of the next one.
  account->waiting.insert(account->waiting.begin(), account->asked.begin(), account->asked.end());
  account->asked.clear();
  account->number = 0;
}

void QuotaTaker::OnClosed(const std::string& instance) {
  if (told_.erase(instance) > 0) has_news_ = true;
}

QuotaTaker::Verdict QuotaTaker::Note(Account* account, double amount, const Verdict& verdict) {
  if (verdict.decision == Decision::kTaken) {
    ++account->taken;
    account->amount += amount;
  } else {
    ++account->refused;
  }
  return verdict;
}

QuotaTaker::Verdict QuotaTaker::Take(const std::string& organisation, double amount,
                                     std::uint64_t ticket, TimeMs now) {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end()) return {};
  Account& account = it->second;
  if (now > account.credit_until) account.credit = 0;
  if (account.credit >= amount && account.waiting.empty()) {
    account.credit -= amount;
    return Note(&account, amount, {});
  }
  if (now < account.over_until) {
    return Note(&account, amount, {Decision::kOver, account.over_until - now});
  }
  const bool has_giver = !account.giver.instance.empty() && now >= account.silent_until;
  if (!has_giver) return Note(&account, amount, TakeAlone(&account, amount, now));
  account.waiting.push_back({ticket, amount});
  return {Decision::kAsked, 0};
}

// Every entry an equal share of the limit, once it counts at no giver any more, which
// keeps it back from then on for as long as it misses the entry. One that has had no giver since
// its start does not know how many share the limit, and has none.
QuotaTaker::Verdict QuotaTaker::TakeAlone(Account* account, double amount, TimeMs now) const {
  const Verdict refused{Decision::kNoGiver, kNoGiverRetryMs};
  const bool was_told = account->told_at != 0;
  const TimeMs begin_at =
      was_told ? account->told_at + kHoldingMs + kAnswerMs : account->alone_from;
  const bool has_share =
      account->giver.instance.empty() && begin_at != 0 && now > begin_at && entries_ > 0;
  if (!has_share) return refused;
  const int entries = was_told ? entries_ : std::max(entries_, kEntriesAssumed);
  const auto gap = static_cast<double>(now - std::max(account->own_at, begin_at));
  account->own_at = now;
  const double per_s = account->limit.per_s / entries;
  const double most = std::max(amount, account->limit.burst / entries);
  account->own_level = std::min(most, account->own_level + per_s * gap / kMsPerS);
  if (account->own_level < amount) return refused;
  account->own_level -= amount;
  return {};
}

std::optional<QuotaTaker::Verdict> QuotaTaker::RefuseIfOver(const std::string& organisation,
                                                            double amount, TimeMs now) {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end() || now >= it->second.over_until) return std::nullopt;
  return Note(&it->second, amount, {Decision::kOver, it->second.over_until - now});
}

void QuotaTaker::Cancel(std::uint64_t ticket) {
  for (auto& [organisation, account] : accounts_) {
    auto& waiting = account.waiting;
    const auto is_it = [ticket](const Waiting& it) { return it.ticket == ticket; };
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(), is_it), waiting.end());
    const auto asked = std::find_if(account.asked.begin(), account.asked.end(), is_it);
    // What is granted for it is for others.
    if (asked != account.asked.end()) asked->ticket = 0;
  }
}

void QuotaTaker::GiveBack(const std::string& organisation, double amount, TimeMs now) {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end()) return;
  Account& account = it->second;
  if (now > account.credit_until) account.credit = 0;
  account.credit += amount;
  account.credit_until = now + kCreditMs;
  account.amount -= amount;
  if (account.taken > 0) --account.taken;
}

std::vector<QuotaTaker::Outcome> QuotaTaker::OnGrant(const QuotaGrant& grant, TimeMs now) {
  std::vector<Outcome> outcomes;
  for (const auto& share : grant.shares) {
    const auto it = accounts_.find(share.organisation);
    // An answer that came too late: its giver counts what it granted as sent.
    if (it == accounts_.end() || it->second.number != grant.number) continue;
    Account& account = it->second;
    account.number = 0;
    if (now > account.credit_until) account.credit = 0;
    account.credit += share.ahead;
    account.credit_until = now + kCreditMs;
    const auto asked = std::exchange(account.asked, {});
    for (std::size_t n = 0; n < asked.size(); ++n) {
      const bool is_granted = n < share.granted;
      if (asked[n].ticket == 0) {
        if (is_granted) account.credit += asked[n].amount;
        continue;
      }
      const Verdict verdict = is_granted ? Verdict{} : Verdict{Decision::kOver, share.retry_ms};
      outcomes.push_back({asked[n].ticket, Note(&account, asked[n].amount, verdict)});
    }
    if (share.granted < asked.size()) account.over_until = now + share.retry_ms;
  }
  return outcomes;
}

std::vector<QuotaTaker::Outcome> QuotaTaker::Expire(TimeMs now) {
  std::vector<Outcome> outcomes;
  for (auto& [organisation, account] : accounts_) {
    const bool is_overdue = account.number != 0 && now - account.asked_at >= kAnswerMs;
    const bool has_nobody = account.giver.instance.empty() && !account.waiting.empty();
    if (!is_overdue && !has_nobody) continue;
    account.number = 0;
    account.silent_until = now + kSilentMs;
    auto overdue = std::exchange(account.asked, {});
    const auto waiting = std::exchange(account.waiting, {});
    overdue.insert(overdue.end(), waiting.begin(), waiting.end());
    for (const auto& it : overdue) {
      if (it.ticket == 0) continue;
      const Verdict verdict = TakeAlone(&account, it.amount, now);
      outcomes.push_back({it.ticket, Note(&account, it.amount, verdict)});
    }
  }
  return outcomes;
}

TimeMs QuotaTaker::NextAt() const {
  TimeMs next = 0;
  for (const auto& [organisation, account] : accounts_) {
    if (account.number == 0) continue;
    const TimeMs due = account.asked_at + kAnswerMs;
    next = next == 0 ? due : std::min(next, due);
  }
  return next;
}

std::map<std::string, QuotaHoldings> QuotaTaker::Holdings() const {
  std::map<std::string, QuotaHoldings> holdings;
  for (const auto& [organisation, account] : accounts_) {
    if (account.giver.instance.empty()) continue;
    QuotaHoldings& it = holdings[account.giver.instance];
    it.version = version_;
    it.all.push_back(account.limit);
  }
  return holdings;
}

void QuotaTaker::AddHoldings(std::map<std::string, QuotaAsk>* asks, TimeMs now) {
  const bool is_due = now >= tell_at_;
  if (!has_news_ && !is_due) return;
  has_news_ = false;
  if (is_due) tell_at_ = now + kHoldingsMs;
  auto holdings = Holdings();
  for (auto it = told_.begin(); it != told_.end();) {
    const bool is_kept = holdings.count(it->first) > 0;
    if (!is_kept) (*asks)[it->first].holdings.emplace();
    it = is_kept ? std::next(it) : told_.erase(it);
  }
  for (auto& [instance, held] : holdings) {
    Told& told = told_[instance];
    if (!is_due && told.at != 0 && told.holdings == held) continue;
    told = {held, now};
    for (const auto& it : held.all) accounts_[it.organisation].told_at = now;
    (*asks)[instance].holdings = std::move(held);
  }
}

void QuotaTaker::AddWants(std::map<std::string, QuotaAsk>* asks, TimeMs now) {
  for (auto& [organisation, account] : accounts_) {
    const bool is_to_ask =
        !account.waiting.empty() && account.number == 0 && !account.giver.instance.empty();
    if (!is_to_ask) continue;
    QuotaAsk& ask = (*asks)[account.giver.instance];
    if (ask.number == 0) ask.number = ++last_number_;
    QuotaWant want;
    want.organisation = organisation;
    while (!account.waiting.empty() && account.asked.size() < kMostAsked) {
      want.amounts.push_back(account.waiting.front().amount);
      account.asked.push_back(account.waiting.front());
      account.waiting.pop_front();
    }
    ask.wants.push_back(std::move(want));
    account.number = ask.number;
    account.asked_at = now;
  }
}

std::vector<QuotaTaker::Message> QuotaTaker::TakeMessages(TimeMs now) {
  std::map<std::string, QuotaAsk> asks;
  AddHoldings(&asks, now);
  AddWants(&asks, now);
  std::vector<Message> messages;
  for (auto& [instance, ask] : asks) {
    ask.entry = entry_;
    ask.entries = entries_;
    messages.push_back({instance, std::move(ask)});
  }
  return messages;
}

std::vector<QuotaTaker::Usage> QuotaTaker::Usages(TimeMs now) const {
  std::vector<Usage> usages;
  for (const auto& [organisation, account] : accounts_) {
    Usage usage;
    usage.limit = account.limit;
    usage.taken = account.taken;
    usage.refused = account.refused;
    usage.amount = account.amount;
    usage.credit = now > account.credit_until ? 0 : account.credit;
    usage.giver = account.giver.address;
    usage.upstream = account.upstream;
    usage.is_silent = now < account.silent_until;
    usages.push_back(std::move(usage));
  }
  return usages;
}

}  // namespace junctionrail
