#include "node/metrics.h"

#include <array>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>
#include <sstream>

namespace cassiashed {
namespace {

constexpr std::size_t MaxNamedWorkspaces = 20;
constexpr std::string_view OtherWorkspaces = "other";

const prometheus::Histogram::BucketBoundaries &secondsBuckets() {
  static const prometheus::Histogram::BucketBoundaries Buckets = {
      0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10, 30, 60, 180};
  return Buckets;
}

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

template <typename Builder>
auto &makeFamily(prometheus::Registry &Registry, Builder Build,
                 const char *Name, const char *Help) {
  return Build.Name(Name).Help(Help).Register(Registry);
}

class MetricsImpl final : public Metrics {
public:
  void countAnswered(std::string_view Workspace,
                     std::string_view Class) override {
    Answered_
        .Add({{"workspace", label(Workspace)}, {"class", std::string(Class)}})
        .Increment();
  }

  void countError(ErrorKind Kind, Ran Effect) override {
    Errors_
        .Add({{"code", answerFor(Kind).Code},
              {"ran", std::string(nameOf(Effect))}})
        .Increment();
  }

  void countRetry() override { Retries_.Add({}).Increment(); }

  void observeFirstToken(std::string_view Workspace, std::string_view Class,
                         Duration Delay) override {
    FirstToken_
        .Add({{"workspace", label(Workspace)}, {"class", std::string(Class)}},
             secondsBuckets())
        .Observe(toSeconds(Delay));
  }

  void observeTokenGap(std::string_view Class, Duration Delay) override {
    TokenGap_.Add({{"class", std::string(Class)}}, secondsBuckets())
        .Observe(toSeconds(Delay));
  }

  void observeQueueWait(std::string_view Class, Duration Delay) override {
    QueueWait_.Add({{"class", std::string(Class)}}, secondsBuckets())
        .Observe(toSeconds(Delay));
  }

  void setGauge(std::string_view Name, double Value) override {
    Gauges_.Add({{"name", std::string(Name)}}).Set(Value);
  }

  void nameWorkspaces(const std::vector<std::string> &Names) override {
    const std::lock_guard Lock(Mutex_);
    for (const std::string &Name : Names) {
      if (Named_.size() >= MaxNamedWorkspaces)
        break;
      Named_.insert(Name);
    }
  }

  std::string format() const override {
    std::ostringstream Text;
    prometheus::TextSerializer().Serialize(Text, Registry_.Collect());
    return Text.str();
  }

private:
  std::string label(std::string_view Workspace) {
    const std::lock_guard Lock(Mutex_);
    return std::string(Named_.count(Workspace) ? Workspace : OtherWorkspaces);
  }

  std::mutex Mutex_; ///< guards Named_
  std::set<std::string, std::less<>> Named_;
  prometheus::Registry Registry_;
  prometheus::Family<prometheus::Counter> &Answered_ =
      makeFamily(Registry_, prometheus::BuildCounter(),
                 "cassiashed_answered_total", "Requests answered whole.");
  prometheus::Family<prometheus::Counter> &Errors_ = makeFamily(
      Registry_, prometheus::BuildCounter(), "cassiashed_errors_total",
      "Requests refused or failed, by code and effect.");
  prometheus::Family<prometheus::Counter> &Retries_ = makeFamily(
      Registry_, prometheus::BuildCounter(), "cassiashed_retries_total",
      "Attempts after the first of a request.");
  prometheus::Family<prometheus::Histogram> &FirstToken_ = makeFamily(
      Registry_, prometheus::BuildHistogram(), "cassiashed_first_token_seconds",
      "Time from the request to its first token.");
  prometheus::Family<prometheus::Histogram> &TokenGap_ = makeFamily(
      Registry_, prometheus::BuildHistogram(), "cassiashed_token_gap_seconds",
      "Mean time between tokens of one answer.");
  prometheus::Family<prometheus::Histogram> &QueueWait_ = makeFamily(
      Registry_, prometheus::BuildHistogram(), "cassiashed_queue_wait_seconds",
      "Time until an endpoint was granted.");
  prometheus::Family<prometheus::Gauge> &Gauges_ =
      makeFamily(Registry_, prometheus::BuildGauge(), "cassiashed_state",
                 "Current state of the node, by name.");
};

} // namespace

std::unique_ptr<Metrics> makeMetrics() {
  return std::make_unique<MetricsImpl>();
}

} // namespace cassiashed
