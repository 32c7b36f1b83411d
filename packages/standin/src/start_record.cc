#include "coltsfoottide/standin/start_record.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <utility>

namespace coltsfoottide::standin {
namespace {

constexpr std::size_t kMaxStartsInMemory = 200'000;

qint64 Micros(core::TimePoint time) { return time.time_since_epoch().count(); }

QJsonObject StartToJson(const TaskStart& start) {
  return {{"id", QString::fromStdString(start.start_id)},
          {"kind", QString::fromStdString(start.kind)},
          {"idempotent", QString::fromStdString(start.idempotent)},
          {"echo", QString::fromStdString(start.echo)}};
}

}  // namespace

bool StartRecord::Open(const std::string& path) {
  if (!path.empty()) {
    file_.open(path, std::ios::app);
    return file_.is_open();
  }
  return true;
}

std::uint64_t StartRecord::AddStart(TaskStart start) {
  const std::uint64_t number = count();
  QJsonObject line = StartToJson(start);
  line["event"] = "start";
  line["number"] = static_cast<qint64>(number);
  line["at_us"] = Micros(start.started_at);
  Write(line);
  starts_.push_back(std::move(start));
  if (starts_.size() > kMaxStartsInMemory) {
    starts_.pop_front();
    ++first_;
  }
  return number;
}

void StartRecord::AddEnd(std::uint64_t number, int status, core::TimePoint now) {
  if (number < first_) {
    return;
  }
  TaskStart& start = starts_[number - first_];
  start.ended_at = now;
  start.status = status;
  Write({{"event", "end"},
         {"number", static_cast<qint64>(number)},
         {"id", QString::fromStdString(start.start_id)},
         {"status", status},
         {"at_us", Micros(now)}});
}

QJsonArray StartRecord::ToJson(std::uint64_t from) const {
  QJsonArray array;
  for (std::uint64_t n = std::max(from, first_); n < count(); ++n) {
    const TaskStart& start = starts_[n - first_];
    QJsonObject item = StartToJson(start);
    item["number"] = static_cast<qint64>(n);
    item["start_us"] = Micros(start.started_at);
    if (start.ended_at) {
      item["end_us"] = Micros(*start.ended_at);
      item["status"] = start.status;
    }
    array.append(item);
  }
  return array;
}

void StartRecord::Write(const QJsonObject& line) {
  if (file_.is_open()) {
    file_ << QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString() << std::endl;
  }
}

}  // namespace coltsfoottide::standin
