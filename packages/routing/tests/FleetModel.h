#pragma once
// Model of seven routing engines and a few upstreams on a virtual clock, driven by generated
// commands. The checks use only what the upstreams recorded.

#include "FakeUpstreams.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace daisydrift {

/// Kind of command and two operands, which the model reduces to valid values.
using FleetCommand = std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>;

/// The modelled fleet. An upstream stops executing a request at most 30 s after it was sent, as the
/// deadline header requires.
class FleetModel
{
public:
  static constexpr unsigned kSeats = 7;
  static constexpr unsigned kUpstreams = 3;
  static constexpr Duration kMaxRequestTimeout = std::chrono::seconds(30);

  explicit FleetModel(std::uint64_t aSeed)
    : random(aSeed)
    , list(UpstreamList(kUpstreams))
  {
    for (unsigned seat = 0; seat < kSeats; ++seat) {
      this->StartInstance(seat);
    }
  }

  void Run(const std::vector<FleetCommand>& aCommands)
  {
    for (const auto& [kind, a, b] : aCommands) {
      this->Apply(kind % 32, a, b);
    }
    this->AdvanceTo(this->clock.Now() + kMaxRequestTimeout * 4);
  }

  /// Descriptions of the invariant violations seen so far.
  std::vector<std::string> violations;
  /// Counts that show whether the generated histories reach the relevant cases.
  unsigned starts = 0;
  unsigned hedges = 0;
  unsigned seatLosses = 0;
  unsigned unanswered = 0;
  unsigned peakRunning = 0;

private:
  enum class Fault
  {
    None,
    Unresponsive,
    HalfOpen,
    Closing,
    Refusing,
    NotStarted,
    Unavailable
  };
  struct Instance
  {
    std::unique_ptr<RoutingEngine> engine;
    unsigned seat = 0;
    bool isAlive = true;
    /// Return value of RoutingHooks::canSend.
    bool holdsSeat = true;
    /// Upstreams that are leaving or gone in the list last passed to this instance.
    std::set<UpstreamId> leaving;
    /// Idle keep-alive connections by upstream.
    std::map<UpstreamId, unsigned> idle;
    std::map<RequestId, std::string> requestNames;
  };
  struct Upstream
  {
    unsigned running = 0;
    unsigned connections = 0;
    Fault fault = Fault::None;
  };
  struct RequestRecord
  {
    bool isRepeatable = false;
    unsigned starts = 0;
    unsigned results = 0;
    bool reportedNotRun = false;
  };

  void StartInstance(unsigned aSeat)
  {
    RoutingSettings settings;
    settings.seats = kSeats;
    settings.queueCapacity = 20;
    settings.teamQueueCapacity = 8;
    settings.failureDomain = aSeat % 2 == 0 ? "hobart" : "burnie";
    settings.hedgeTokenRatio = 0.5;
    settings.seed = aSeat;
    this->instances.push_back(std::make_unique<Instance>());
    Instance& instance = *this->instances.back();
    instance.seat = aSeat;
    instance.engine = std::make_unique<RoutingEngine>(settings);
    instance.engine->SetSeat(aSeat, this->clock.Now());
    this->SendUpstreamList(instance);
    this->seatHolders[aSeat] = &instance;
  }

  void SendUpstreamList(Instance& aInstance)
  {
    aInstance.leaving.clear();
    std::vector<InstanceInfo> listed;
    for (const InstanceInfo& info : this->list) {
      if (info.state != InstanceState::Live) {
        aInstance.leaving.insert(info.id);
      }
      if (info.state != InstanceState::Gone) {
        listed.push_back(info);
      }
    }
    // Each instance gets the list in another order.
    std::shuffle(listed.begin(), listed.end(), this->random);
    aInstance.engine->UpdateUpstreams(listed, this->clock.Now());
    this->HandleEvents(aInstance);
  }

  void Apply(unsigned aKind, unsigned aFirst, unsigned aSecond)
  {
    Instance* instance = this->seatHolders[aFirst % kSeats];
    UpstreamId upstream = "u" + std::to_string(aFirst % kUpstreams + 1);
    if (aKind < 18) {
      for (unsigned i = 0; instance && i <= aSecond % 8; ++i) {
        this->Submit(*instance, (aSecond + i) % 3 == 0, aSecond % 5);
      }
    } else if (aKind < 26) {
      unsigned limit = aKind == 25 ? 35'000 : 300;
      this->AdvanceTo(this->clock.Now() + std::chrono::milliseconds(aSecond % limit));
    } else if (aKind < 28) {
      this->upstreams[upstream].fault = aSecond % 14 < 7 ? Fault::None : Fault(aSecond % 7);
    } else if (aKind == 28) {
      this->list[aFirst % kUpstreams].state =
        aSecond % 6 < 4 ? InstanceState::Live : InstanceState(aSecond % 6 - 3);
    } else if (aKind == 29 && instance) {
      this->SendUpstreamList(*instance);
    } else if (aKind == 30 && instance && aSecond % 4 == 0) {
      this->LoseSeat(*instance, aSecond % 8 == 0);
    } else if (aKind == 31 && instance) {
      instance->holdsSeat = aSecond % 4 != 0;
    }
  }

  /// The instance crashes or learns late that it lost its seat. A successor starts after the
  /// longest time that a request may take.
  void LoseSeat(Instance& aInstance, bool aCrashes)
  {
    ++this->seatLosses;
    aInstance.holdsSeat = false;
    aInstance.isAlive = !aCrashes;
    unsigned seat = aInstance.seat;
    this->seatHolders[seat] = nullptr;
    if (!aCrashes) {
      this->ScheduleAt(this->clock.Now() + std::chrono::seconds(1), [this, &aInstance] {
        aInstance.engine->SetSeat(std::nullopt, this->clock.Now());
        this->HandleEvents(aInstance);
      });
    }
    this->ScheduleAt(this->clock.Now() + kMaxRequestTimeout,
                     [this, seat] { this->StartInstance(seat); });
  }

  void Submit(Instance& aInstance, bool aIsRepeatable, unsigned aTeam)
  {
    std::string name = "r" + std::to_string(this->records.size());
    this->records[name].isRepeatable = aIsRepeatable;
    RequestSpec spec{ "desk",
                      "t" + std::to_string(aTeam),
                      1.0 + aTeam,
                      aIsRepeatable,
                      this->clock.Now() + std::chrono::milliseconds(this->random() % 40'000) };
    RequestId id = aInstance.engine->Submit(spec, this->clock.Now());
    aInstance.requestNames[id] = name;
    this->ScheduleAt(spec.deadline, [this, &aInstance, id] {
      aInstance.engine->Expire(id, this->clock.Now());
      this->HandleEvents(aInstance);
    });
    this->HandleEvents(aInstance);
  }

  void HandleEvents(Instance& aInstance)
  {
    for (RoutingEvent& event : aInstance.engine->TakeEvents()) {
      RequestRecord& record = this->records[aInstance.requestNames[event.request]];
      if (event.attempt) {
        this->Send(aInstance, *event.attempt);
      } else if (event.retry) {
        RequestId id = event.request;
        this->ScheduleAt(this->clock.Now() + event.retry->delay, [this, &aInstance, id] {
          if (!this->completed.count({ &aInstance, id })) {
            aInstance.engine->Requeue(id, this->clock.Now());
            this->HandleEvents(aInstance);
          }
        });
      } else {
        this->completed.insert({ &aInstance, event.request });
        ++record.results;
        record.reportedNotRun = event.result->outcome == RequestOutcome::NotRun;
        this->Expect(record.results == 1, "a request has two results");
        this->Expect(!record.reportedNotRun || record.starts == 0, "not_run of a started request");
      }
    }
    if (auto change = aInstance.engine->NextDispatchTime(this->clock.Now())) {
      this->ScheduleAt(*change, [this, &aInstance] {
        aInstance.engine->Dispatch(this->clock.Now());
        this->HandleEvents(aInstance);
      });
    }
  }

  void Send(Instance& aInstance, const UpstreamAttempt& aAttempt)
  {
    TimePoint now = this->clock.Now();
    this->Expect(aInstance.leaving.count(aAttempt.slot.upstream) == 0,
                 "an attempt goes to a leaving upstream");
    if (!aInstance.holdsSeat) {
      this->ScheduleAt(now, [this, &aInstance, aAttempt] {
        aInstance.engine->OnAttemptSkipped(aAttempt, SkipReason::SeatNotUsable, this->clock.Now());
        this->HandleEvents(aInstance);
      });
      return;
    }
    Upstream& upstream = this->upstreams[aAttempt.slot.upstream];
    Fault fault = upstream.fault;
    if (fault != Fault::Refusing) {
      this->Connect(aInstance, aAttempt.slot.upstream, upstream);
    }
    bool isStarted =
      fault != Fault::Refusing && fault != Fault::NotStarted && fault != Fault::HalfOpen;
    Duration work = std::chrono::milliseconds(1 + this->random() % 400);
    bool runsUntilTimeout = fault == Fault::Unresponsive || fault == Fault::Closing;
    if (isStarted) {
      this->Start(aInstance.requestNames[aAttempt.request], upstream);
      TimePoint stopsAt = now + (runsUntilTimeout ? kMaxRequestTimeout - Duration(1) : work);
      this->ScheduleAt(stopsAt, [&upstream] { --upstream.running; });
    }
    if (auto delay = aInstance.engine->HedgeDelay(aAttempt.request)) {
      this->ScheduleAt(now + *delay, [this, &aInstance, aAttempt] {
        auto before = aInstance.engine->Counts().hedges;
        aInstance.engine->StartHedge(aAttempt.request, this->clock.Now());
        this->hedges += static_cast<unsigned>(aInstance.engine->Counts().hedges - before);
        this->HandleEvents(aInstance);
      });
    }
    TimePoint endsAt = now + work;
    SendOutcome outcome = OutcomeOf(fault);
    // Some attempts run without a thread of their own and are abandoned at the deadline of the
    // request.
    TimePoint giveUpAt = this->random() % 4 == 0 ? aAttempt.deadline : now + kMaxRequestTimeout;
    if (fault == Fault::Unresponsive || fault == Fault::HalfOpen || endsAt > giveUpAt) {
      endsAt = giveUpAt;
      outcome = SendOutcome::NoResponse;
    }
    this->unanswered += outcome == SendOutcome::NoResponse ? 1 : 0;
    this->ScheduleAt(std::max(endsAt, now), [this, &aInstance, &upstream, aAttempt, outcome, now] {
      this->FinishAttempt(aInstance, upstream, aAttempt, outcome, now);
    });
  }

  static SendOutcome OutcomeOf(Fault aFault)
  {
    switch (aFault) {
      case Fault::None:
        return SendOutcome::Responded;
      case Fault::Refusing:
        return SendOutcome::NotSent;
      case Fault::NotStarted:
        return SendOutcome::NotStarted;
      case Fault::Unavailable:
        return SendOutcome::Unavailable;
      default:
        return SendOutcome::NoResponse;
    }
  }

  void FinishAttempt(Instance& aInstance,
                     Upstream& aUpstream,
                     const UpstreamAttempt& aAttempt,
                     SendOutcome aOutcome,
                     TimePoint aSentAt)
  {
    if (aOutcome == SendOutcome::NoResponse) {
      --aUpstream.connections;
    } else if (aOutcome != SendOutcome::NotSent) {
      ++aInstance.idle[aAttempt.slot.upstream];
    }
    aInstance.engine->OnAttemptEnded(aAttempt, aOutcome, aSentAt, this->clock.Now());
    this->HandleEvents(aInstance);
  }

  void Connect(Instance& aInstance, const UpstreamId& aName, Upstream& aUpstream)
  {
    unsigned& idle = aInstance.idle[aName];
    if (idle > 0) {
      --idle;
      return;
    }
    ++aUpstream.connections;
    this->Expect(aUpstream.connections <= 64, "more than 64 connections");
  }

  void Start(const std::string& aName, Upstream& aUpstream)
  {
    RequestRecord& record = this->records[aName];
    ++record.starts;
    ++this->starts;
    ++aUpstream.running;
    this->peakRunning = std::max(this->peakRunning, aUpstream.running);
    this->Expect(aUpstream.running <= 8, "more than 8 slots in use");
    this->Expect(record.isRepeatable || record.starts == 1, "a second start of " + aName);
    this->Expect(!record.reportedNotRun, "a start after not_run");
  }

  void Expect(bool aHolds, const std::string& aViolation)
  {
    if (!aHolds) {
      this->violations.push_back(aViolation);
    }
  }

  void ScheduleAt(TimePoint aTime, std::function<void()> aAction)
  {
    this->pending.emplace(aTime, std::move(aAction));
  }

  void AdvanceTo(TimePoint aTime)
  {
    while (!this->pending.empty() && this->pending.begin()->first <= aTime) {
      auto first = this->pending.begin();
      std::function<void()> action = std::move(first->second);
      this->clock.Advance(std::max(Duration(0), first->first - this->clock.Now()));
      this->pending.erase(first);
      action();
    }
    this->clock.Advance(std::max(Duration(0), aTime - this->clock.Now()));
  }

  std::mt19937_64 random;
  ManualClock clock;
  std::vector<InstanceInfo> list;
  std::vector<std::unique_ptr<Instance>> instances;
  std::map<unsigned, Instance*> seatHolders;
  std::map<UpstreamId, Upstream> upstreams;
  std::map<std::string, RequestRecord> records;
  std::set<std::pair<const Instance*, RequestId>> completed;
  std::multimap<TimePoint, std::function<void()>> pending;
};

} // namespace daisydrift
