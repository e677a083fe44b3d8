#include "entry/traffic_thread.h"

#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace egretrack::entry {

struct traffic_thread::impl {
  impl()
      : work_guard(context.get_executor()), thread([this] { context.run(); }) {}

  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard;
  std::thread thread;
};

traffic_thread::traffic_thread() : impl_(std::make_unique<impl>()) {}

traffic_thread::~traffic_thread() {
  Stop();
}

void traffic_thread::Post(work_item item) {
  boost::asio::post(impl_->context, std::move(item));
}

void traffic_thread::PostAfter(milliseconds delay, work_item item) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(impl_->context, delay);
  timer->async_wait([timer, item = std::move(item)](
                        const boost::system::error_code& failure) {
    if (!failure)
      item();
  });
}

void traffic_thread::Stop() {
  impl_->context.stop();
  if (impl_->thread.joinable())
    impl_->thread.join();
}

}  // namespace egretrack::entry
